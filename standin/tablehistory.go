package standin

import (
	"slices"
	"time"

	"savorystep"
)

// maxTableHistory is the age of the oldest copy from which a Table can be restored.
const maxTableHistory = 2 * time.Minute

// A tableChange is a row as it was before a commit.
type tableChange struct {
	at      time.Time
	version savorystep.RowVersion // of the commit
	before  savorystep.Row
}

// recordChange adds a change to the history and drops those that are too old. The
// caller holds mu.
func (t *Table) recordChange(now time.Time, before savorystep.Row, key savorystep.RowKey) {
	before.Key = key
	t.history = append(t.history, tableChange{at: now, version: t.version, before: before})
	if now.Sub(t.history[0].at) > 2*maxTableHistory {
		t.history = slices.DeleteFunc(t.history, func(c tableChange) bool {
			tooOld := now.Sub(c.at) > maxTableHistory
			if tooOld {
				t.oldestVersion = c.version
			}
			return tooOld
		})
	}
}

// Era returns the number of times that the table was restored, plus one, or 0 if it
// is hidden.
func (t *Table) Era() savorystep.StoreEra {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.statedEra()
}

// statedEra returns the era that responses state. The caller holds mu.
func (t *Table) statedEra() savorystep.StoreEra {
	if t.hidesEra {
		return 0
	}
	return t.era
}

// HideEra removes the era from the responses and from the conditions of
// transactions, as in stores of before it.
func (t *Table) HideEra() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hidesEra = true
}

// Version returns the present version.
func (t *Table) Version() savorystep.RowVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// VersionAt returns the version that the table had at a time, or the oldest from
// which it can be restored if that is later.
func (t *Table) VersionAt(at time.Time) savorystep.RowVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, change := range t.history {
		if change.at.After(at) {
			return change.version - 1
		}
	}
	return t.version
}

// Restore replaces the rows with a copy that was made at a version, and raises the
// era. The changes after that version are lost, and their versions are given out
// again. It does nothing if the version is greater than the present one or older than
// the history.
func (t *Table) Restore(version savorystep.RowVersion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if version > t.version || version < t.oldestVersion {
		return
	}
	for len(t.history) > 0 {
		last := t.history[len(t.history)-1]
		if last.version <= version {
			break
		}
		t.history = t.history[:len(t.history)-1]
		if last.before.Version == 0 {
			delete(t.rows, last.before.Key)
		} else {
			t.rows[last.before.Key] = last.before
		}
	}
	t.version = version
	t.era++
}
