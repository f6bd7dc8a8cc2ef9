package savorystep

// A CommitResult is the result of a transaction. If Conflicts is empty, the
// transaction was applied and each written row has the version Version.
// Otherwise nothing was written, and Conflicts holds the current rows of the
// conditions that failed.
type CommitResult struct {
	Version   RowVersion `json:"version"`
	Conflicts []Row      `json:"conflicts,omitempty"`
}
