package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"savorystep"
)

var _ savorystep.Table = &Table{}

// A Table is a transactional table in memory. It can be restored from a copy of
// itself.
type Table struct {
	mu      sync.Mutex
	rows    map[savorystep.RowKey]savorystep.Row
	version savorystep.RowVersion
	era     savorystep.StoreEra
	// hidesEra is true if responses state no era.
	hidesEra bool
	// history holds the changes that Restore can undo, the oldest first.
	history []tableChange
	// oldestVersion is the version before the oldest change in history.
	oldestVersion savorystep.RowVersion
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: make(map[savorystep.RowKey]savorystep.Row), era: savorystep.FirstStoreEra}
}

// Commit applies a transaction if its era is that of the table and all its
// conditions hold. Otherwise the result has the rows whose conditions failed.
func (t *Table) Commit(ctx context.Context, txn savorystep.Txn) (savorystep.CommitResult, error) {
	if err := ctx.Err(); err != nil {
		return savorystep.CommitResult{}, savorystep.WrapError(savorystep.KindPlatformDown, err, "commit cancelled before it took effect")
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if txn.Era != 0 && txn.Era != t.era && !t.hidesEra {
		return savorystep.CommitResult{Era: t.era}, nil
	}
	conflicts := t.conflicts(txn.Conditions)
	if len(conflicts) > 0 {
		return savorystep.CommitResult{Conflicts: conflicts, Era: t.statedEra()}, nil
	}
	t.version++
	now := time.Now()
	for _, write := range txn.Writes {
		t.recordChange(now, t.rows[write.Key], write.Key)
		if write.Delete {
			delete(t.rows, write.Key)
			continue
		}
		value := append([]byte(nil), write.Value...)
		t.rows[write.Key] = savorystep.Row{Key: write.Key, Version: t.version, Value: value}
	}
	return savorystep.CommitResult{Version: t.version, Era: t.statedEra()}, nil
}

// conflicts returns the current rows of the conditions that don't hold. The
// caller holds mu.
func (t *Table) conflicts(conditions []savorystep.Condition) []savorystep.Row {
	var conflicts []savorystep.Row
	for _, condition := range conditions {
		row := t.row(condition.Key)
		if row.Version != condition.Version {
			conflicts = append(conflicts, row)
		}
	}
	return conflicts
}

// row returns a row, with version 0 if it doesn't exist. The caller holds mu.
func (t *Table) row(key savorystep.RowKey) savorystep.Row {
	row := t.rows[key]
	row.Key, row.Era = key, t.statedEra()
	return row
}

// Get returns a row, with version 0 if it doesn't exist.
func (t *Table) Get(ctx context.Context, key savorystep.RowKey) (savorystep.Row, error) {
	if err := ctx.Err(); err != nil {
		return savorystep.Row{}, savorystep.WrapError(savorystep.KindPlatformDown, err, "read of row %q cancelled", key)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.row(key), nil
}

// Scan returns up to limit rows whose key has a prefix and follows the key after,
// in the order of their keys.
func (t *Table) Scan(ctx context.Context, prefix, after savorystep.RowKey, limit int) ([]savorystep.Row, error) {
	if err := ctx.Err(); err != nil {
		return nil, savorystep.WrapError(savorystep.KindPlatformDown, err, "scan of rows with prefix %q cancelled", prefix)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []savorystep.Row
	for key := range t.rows {
		if strings.HasPrefix(string(key), string(prefix)) && key > after {
			rows = append(rows, t.row(key))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	if len(rows) > limit {
		rows = rows[:limit]
	}
	return rows, nil
}
