package endpoint

import (
	"time"

	"savorystep"
)

// tombLifetime is how long a removed endpoint is remembered. Writes of reports
// that were under way when it left take effect within seconds.
const tombLifetime = time.Minute

// A tombstone remembers an endpoint that was removed from the list.
type tombstone struct {
	born     int64
	sequence uint64
	at       time.Time
	// again is the sequence of the first later report, zero before it.
	again uint64
}

// rewritten takes note that the known entry was written again by a report that
// is not newer. After the last known report itself, one more shows that the
// endpoint lives.
func (b *tombstone) rewritten(entry savorystep.Endpoint) {
	if entry.StartedAtMillis == b.born && entry.ReportSequence == b.sequence {
		b.again = b.sequence
	}
}

// forgetTombs drops old tombstones.
func (t *Table) forgetTombs(now time.Time) {
	for id, tomb := range t.tombs {
		if now.Sub(tomb.at) >= tombLifetime {
			delete(t.tombs, id)
		}
	}
}

// isStale reports whether an entry of a removed endpoint may be an old report
// whose write took effect after the removal. Such a write comes once, while an
// endpoint that lives reports again.
func (t *Table) isStale(now time.Time, entry savorystep.Endpoint) bool {
	tomb := t.tombs[entry.ID]
	if tomb == nil {
		return false
	}
	if now.Sub(tomb.at) >= tombLifetime || entry.StartedAtMillis > tomb.born {
		delete(t.tombs, entry.ID)
		return false
	}
	if entry.StartedAtMillis < tomb.born || entry.ReportSequence <= tomb.sequence {
		return true
	}
	if tomb.again == 0 || entry.ReportSequence <= tomb.again {
		tomb.again = entry.ReportSequence
		return true
	}
	delete(t.tombs, entry.ID)
	return false
}
