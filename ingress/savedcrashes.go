package ingress

import (
	"maps"
	"slices"
	"time"

	"savorystep"
	"savorystep/http1"
)

// maxDescriptionBytes bounds the description of a request.
const maxDescriptionBytes = 120

// describeRequest returns a description of a request for operators.
func describeRequest(r *http1.Request) string {
	text := r.Method + " " + r.Host + r.Target
	return text[:min(len(text), maxDescriptionBytes)]
}

// markUnsaved lets the keeper save or remove the crashes of a request. The caller must
// hold q.mu.
func (q *Quarantine) markUnsaved(key savorystep.Fingerprint) {
	q.changeCount++
	q.unsaved[key] = q.changeCount
	select {
	case q.saveSignal <- struct{}{}:
	default:
	}
}

// markAllUnsaved lets the keeper save all crashes again that the log should have.
func (q *Quarantine) markAllUnsaved(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, record := range q.records {
		if record.streak >= savedStreak && !record.isExpired(now) {
			q.markUnsaved(key)
		}
	}
}

// edit applies the saved crashes and returns them with the changes of this instance. It
// returns false if there are none: the crash log is not written only because entries have
// expired, which the next change removes. What this instance has no change for is kept as
// it was saved, so that it doesn't restore what another one has removed.
func (q *Quarantine) edit(now time.Time, saved []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	isChanged := false
	known := make(map[savorystep.Fingerprint]bool, len(saved))
	var edited []savorystep.RequestCrashes
	for _, crashes := range saved {
		if known[crashes.Fingerprint] || crashes.IsExpired(now, quarantineDuration) {
			continue
		}
		known[crashes.Fingerprint] = true
		if _, isUnsaved := q.unsaved[crashes.Fingerprint]; !isUnsaved {
			q.applySaved(now, crashes)
			edited = append(edited, crashes)
			continue
		}
		record := q.records[crashes.Fingerprint]
		if record == nil {
			isChanged = true
			continue
		}
		q.applySaved(now, crashes)
		merged := record.toSaved(crashes.Fingerprint)
		isChanged = isChanged || merged.Streak > crashes.Streak || merged.LastCrashMillis > crashes.LastCrashMillis || merged.WasAnswered != crashes.WasAnswered
		edited = append(edited, merged)
	}
	for key := range q.unsaved {
		if record := q.records[key]; record != nil && !known[key] && record.streak >= savedStreak {
			edited = append(edited, record.toSaved(key))
			isChanged = true
		}
	}
	return edited, isChanged
}

// applySaved applies crashes that the log has. The caller must hold q.mu.
func (q *Quarantine) applySaved(now time.Time, crashes savorystep.RequestCrashes) {
	lastCrash := crashes.LastCrash(now)
	if clearedAt, ok := q.clearedAt[crashes.Fingerprint]; ok && !lastCrash.After(clearedAt) {
		return
	}
	if known := q.records[crashes.Fingerprint]; known == nil || known.isExpired(now) {
		log.Warningf("request fingerprint=%s (%s) crashed %d endpoints in a row, the last one %v ago, of %v, according to the crash log", crashes.Fingerprint, crashes.Request, crashes.Streak, now.Sub(lastCrash).Round(time.Second), crashes.Endpoints)
	}
	record := q.recordOf(now, crashes.Fingerprint)
	if len(record.endpoints) == 0 {
		record.firstCrash, record.lastCrash = lastCrash, lastCrash
		record.endpoints = slices.Clone(crashes.Endpoints)
	}
	record.streak = max(record.streak, crashes.Streak)
	if lastCrash.After(record.lastCrash) {
		record.lastCrash = lastCrash
	}
	record.wasAnswered = record.wasAnswered || crashes.WasAnswered
	if probedAt := crashes.ProbedAt(now); probedAt.After(record.probedAt) {
		record.probedAt = probedAt
	}
	if record.request == "" {
		record.request = crashes.Request
	}
}

// unsavedChanges returns the requests whose crashes are to be saved or removed, with the
// numbers of their last changes.
func (q *Quarantine) unsavedChanges() map[savorystep.Fingerprint]uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return maps.Clone(q.unsaved)
}

// confirmSaved records that changes have been saved. What has changed since remains to
// be saved.
func (q *Quarantine) confirmSaved(changes map[savorystep.Fingerprint]uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, number := range changes {
		if q.unsaved[key] == number {
			delete(q.unsaved, key)
		}
	}
}

// toSaved returns the record as the crash log keeps it.
func (r *crashRecord) toSaved(key savorystep.Fingerprint) savorystep.RequestCrashes {
	saved := savorystep.RequestCrashes{
		Fingerprint: key, Streak: r.streak, LastCrashMillis: r.lastCrash.UnixMilli(), Request: r.request,
		WasAnswered: r.wasAnswered, Endpoints: r.lastEndpoints(),
	}
	if !r.probedAt.IsZero() {
		saved.ProbedAtMillis = r.probedAt.UnixMilli()
	}
	return saved
}
