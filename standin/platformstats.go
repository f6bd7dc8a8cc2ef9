package standin

// PlatformStats counts the calls to a Platform since its start.
type PlatformStats struct {
	// Reads counts reads of rows, objects and lists. Writes counts commits and
	// writes of objects. Neither counts calls rejected by a rate limit.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Rows counts the writes in the received commits.
	Rows uint64 `json:"rows"`
	// Refused counts the calls rejected by a rate limit.
	Refused uint64 `json:"refused"`
}
