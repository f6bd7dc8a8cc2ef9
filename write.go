package savorystep

// A Write sets or deletes one row.
type Write struct {
	Key    RowKey `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}
