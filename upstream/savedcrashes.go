package upstream

import (
	"time"

	"savorystep"
)

// markUnsaved lets the keeper save the crashes of a fingerprint if they quarantine it.
func (q *Quarantine) markUnsaved(key savorystep.Fingerprint) {
	if q.crashes.total(key, q.config.Clock.Now()) >= q.crashLimit(key) {
		q.unsaved.mark(key)
	}
}

// markAllUnsaved lets the keeper save the crashes of all quarantined fingerprints again.
func (q *Quarantine) markAllUnsaved() {
	for _, key := range q.crashes.fingerprints() {
		q.markUnsaved(key)
	}
}

// applySaved applies the crashes of the log at the first call. Later ones are known from
// the peers. What was cleared meanwhile is left out.
func (q *Quarantine) applySaved(now time.Time, saved []savorystep.RequestCrashes) {
	if q.isLogApplied.Swap(true) {
		return
	}
	cleared := q.unsaved.list()
	for _, crashes := range saved {
		if _, isChanged := cleared[crashes.Fingerprint]; isChanged || crashes.IsExpired(now, crashTTL) {
			continue
		}
		log.Warningf("fingerprint %s is quarantined according to the crash log: endpoints %v", crashes.Fingerprint, crashes.Endpoints)
		q.crashes.addFromPeer(crashes.Fingerprint, crashes.Endpoints, crashes.LastCrash(now))
	}
}

// editSaved returns the saved crashes with the given changes of this instance, and false
// if it has none: expired ones alone are not worth a write.
func (q *Quarantine) editSaved(now time.Time, saved []savorystep.RequestCrashes, changes map[savorystep.Fingerprint]uint64) ([]savorystep.RequestCrashes, bool) {
	isChanged := false
	known := make(map[savorystep.Fingerprint]bool, len(saved))
	var edited []savorystep.RequestCrashes
	for _, crashes := range saved {
		if known[crashes.Fingerprint] || crashes.IsExpired(now, crashTTL) {
			continue
		}
		known[crashes.Fingerprint] = true
		if _, ok := changes[crashes.Fingerprint]; ok {
			present, isKnown := q.crashes.toSaved(crashes.Fingerprint, now)
			if !isKnown {
				isChanged = true
				continue
			}
			if len(present.Endpoints) > len(crashes.Endpoints) {
				isChanged = true
				crashes = present
			}
		}
		edited = append(edited, crashes)
	}
	for key := range changes {
		if present, isKnown := q.crashes.toSaved(key, now); isKnown && !known[key] {
			edited = append(edited, present)
			isChanged = true
		}
	}
	return edited, isChanged
}
