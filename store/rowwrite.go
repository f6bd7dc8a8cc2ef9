package store

import (
	"bytes"

	"savorystep"
)

// A rowWrite is a conditional write of one row. Its value is unique to its
// writer, so a row with this value shows that the write took effect.
type rowWrite struct {
	key savorystep.RowKey
	// version is the version that the row must have.
	version savorystep.RowVersion
	value   []byte
	// settled receives the row as it is once the write has taken effect or can
	// no longer do so.
	result chan savorystep.Row

	// The batcher's lock guards the fields below.

	// sends counts the transactions with this write that were not refused.
	sentCount int
	// ended is true once the write is settled or abandoned.
	resolved bool
}

// owns reports whether the row shows that the write took effect.
func (w *rowWrite) tookEffect(row savorystep.Row) bool {
	return row.Version != 0 && bytes.Equal(row.Value, w.value)
}
