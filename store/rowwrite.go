package store

import (
	"bytes"

	"savorystep"
)

// A rowWrite is a conditional write of one row. Its value is unique to its
// writer, so a row with this value proves that the write took effect.
type rowWrite struct {
	key savorystep.RowKey
	// version is the version that the write is conditioned on, in the era.
	version savorystep.RowVersion
	era     savorystep.StoreEra
	value   []byte
	// result receives the row once the write has taken effect or can no longer
	// do so, since the row has another version or the table is in a later era.
	result chan savorystep.Row

	// The batcher's mutex guards the fields below.

	// sentCount counts the transactions with this write that the platform did
	// not refuse.
	sentCount int
	// resolved is true once the outcome is known or the write was abandoned.
	resolved bool
}

// tookEffect reports whether the row proves that the write took effect.
func (w *rowWrite) tookEffect(row savorystep.Row) bool {
	return row.Version != 0 && bytes.Equal(row.Value, w.value)
}
