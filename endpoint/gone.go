package endpoint

import (
	"time"

	"savorystep"
)

// Gone returns the endpoints that had left or were leaving before a time, as far as
// entries before an era say so. An endpoint whose entry may only have expired is not
// one of them.
func (t *Table) Gone(before time.Time, era savorystep.StoreEra) []savorystep.GoneEndpoint {
	var gone []savorystep.GoneEndpoint
	for id, tomb := range t.tombstones {
		if tomb.removedAt.Before(before) && !tomb.needsOneReport && tomb.pendingSince.IsZero() {
			gone = append(gone, savorystep.GoneEndpoint{ID: id, StartedAtMillis: tomb.startedAtMillis, ReportSequence: tomb.reportSequence})
		}
	}
	for id, s := range t.byID {
		if s.State == savorystep.StateLeaving && s.WrittenVersion.Era() < era {
			gone = append(gone, savorystep.GoneEndpoint{ID: id, StartedAtMillis: s.StartedAtMillis, ReportSequence: s.ReportSequence})
		}
	}
	return gone
}

// ApplyGone removes an endpoint that has left according to another instance, unless its
// entry has a newer report, and keeps a tombstone of it.
func (t *Table) ApplyGone(now time.Time, gone savorystep.GoneEndpoint) {
	s := t.byID[gone.ID]
	last := &endpointState{Endpoint: savorystep.Endpoint{StartedAtMillis: gone.StartedAtMillis, ReportSequence: gone.ReportSequence}}
	if s != nil && last.isNewerReport(s.Endpoint) {
		return
	}
	if s != nil {
		t.Remove(now, gone.ID)
	}
	tomb := t.tombstones[gone.ID]
	if tomb == nil {
		tomb = &tombstone{removedAt: now, rateLimiter: newRateLimiter()}
		t.tombstones[gone.ID] = tomb
	}
	if gone.StartedAtMillis > tomb.startedAtMillis || (gone.StartedAtMillis == tomb.startedAtMillis && gone.ReportSequence > tomb.reportSequence) {
		tomb.startedAtMillis, tomb.reportSequence = gone.StartedAtMillis, gone.ReportSequence
	}
}
