package savorystep

// A StoreEra numbers the histories of the platform's store. It rises by one each
// time the store comes back from a copy of itself, which lacks the changes since the
// copy was made. Era 0 means that the store has not stated one.
type StoreEra uint32

// StoreEraBits is the number of bits of an era. It leaves 40 bits of a CatalogVersion
// for the version within the era.
const StoreEraBits = 24
