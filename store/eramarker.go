package store

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	"savorystep"
)

// An eraMarker is a row that says for which era the restore window is over. An
// instance writes it at the end of its own window, so that one that starts later has
// none.
type eraMarker struct {
	table savorystep.Table
	clock savorystep.Clock
	key   savorystep.RowKey
	guard *restoreGuard
}

// An eraRow is the value of the row of an eraMarker.
type eraRow struct {
	Era savorystep.StoreEra `cbor:"1,keyasint"`
}

// read reads the marker. If the window of the table's era is over at another
// instance, it is over at this one.
func (m *eraMarker) read(ctx context.Context) error {
	row, err := m.table.Get(ctx, m.key)
	if err != nil {
		return err
	}
	m.guard.observe(row.Era, m.clock.Now())
	if marksEra(row) {
		m.guard.close(row.Era)
	}
	return nil
}

// write records that the window of an era is over. It returns false if it has to be
// tried again.
func (m *eraMarker) write(ctx context.Context, era savorystep.StoreEra) bool {
	row, err := m.table.Get(ctx, m.key)
	if err != nil {
		return false
	}
	m.guard.observe(row.Era, m.clock.Now())
	if row.Era != era || marksEra(row) {
		return row.Era == era
	}
	commit, err := m.table.Commit(ctx, savorystep.Txn{
		Conditions: []savorystep.Condition{{Key: m.key, Version: row.Version}},
		Writes:     []savorystep.Write{{Key: m.key, Value: encodeCBOR(eraRow{Era: era})}},
		Era:        era,
	})
	return err == nil && commit.Version != 0
}

// marksEra reports whether the row of a marker names the era of the table.
func marksEra(row savorystep.Row) bool {
	var value eraRow
	return row.Version != 0 && cbor.Unmarshal(row.Value, &value) == nil && value.Era == row.Era
}
