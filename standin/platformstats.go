package standin

// PlatformStats count the calls of a Platform since its start.
type PlatformStats struct {
	// Reads counts reads of rows, objects and lists, Writes transactions and
	// writes of objects. Refused calls count in neither.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Rows counts the rows in the transactions.
	Rows uint64 `json:"rows"`
	// Refused counts calls that were refused by a rate limit.
	Refused uint64 `json:"refused"`
}
