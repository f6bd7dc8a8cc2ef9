package savorystep

// A Row is a row of the platform's table. A row that does not exist has
// version 0 and no value.
type Row struct {
	Key     RowKey     `json:"key"`
	Version RowVersion `json:"version"`
	Value   []byte     `json:"value,omitempty"`
	// Era is the era of the store in which the row had the version. Responses state
	// it once, in a header.
	Era StoreEra `json:"-"`
}
