package savorystep

// A CommitResult is the result of a transaction. If Version is not 0, the
// transaction was applied and each written row has the version Version.
// Otherwise nothing was written, and Conflicts holds the current rows of the
// conditions that failed. It is empty if the store is in another era than the
// transaction.
type CommitResult struct {
	Version   RowVersion `json:"version"`
	Conflicts []Row      `json:"conflicts,omitempty"`
	// Era is the era of the store, see Row.
	Era StoreEra `json:"-"`
}

// IsOtherEra reports whether the transaction was not applied because its era is
// not that of the store.
func (r CommitResult) IsOtherEra() bool {
	return r.Version == 0 && len(r.Conflicts) == 0
}
