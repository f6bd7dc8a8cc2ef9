package savorystep

// A StoreEra numbers the histories of the platform's store. It rises by one each
// time the store comes back from a copy of itself, which lacks the changes since the
// copy was made. Era 0 means that the store has not stated one.
type StoreEra uint32

// FirstStoreEra is the era of a store that was never restored, and of one that
// states no era.
const FirstStoreEra StoreEra = 1

// StoreEraBits is the number of bits of an era. It leaves 40 bits of a CatalogVersion
// for the version within the era.
const StoreEraBits = 24

// OrFirst returns the era, or FirstStoreEra if the store has not stated one.
func (e StoreEra) OrFirst() StoreEra {
	return max(e, FirstStoreEra)
}
