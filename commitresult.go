package savorystep

// A CommitResult is the outcome of a transaction. If Conflicts is empty, the writes
// were made and each written row has the given version. Otherwise nothing was
// written and Conflicts holds the current rows of the conditions that failed.
type CommitResult struct {
	Version   RowVersion `json:"version"`
	Conflicts []Row      `json:"conflicts,omitempty"`
}
