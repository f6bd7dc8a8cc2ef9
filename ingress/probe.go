package ingress

import (
	"context"
	"time"

	"savorystep"
)

// claimProbe reports whether this instance may send a quarantined request once. A request
// that endpoints answered before they crashed may have been in flight at endpoints that
// failed for another reason; only sending it tells. The crash log lets one instance do so
// at a time. If it can't be reached, no probe is sent.
func (q *Quarantine) claimProbe(ctx context.Context, now time.Time, key savorystep.Fingerprint) bool {
	q.mu.Lock()
	record := q.records[key]
	if record == nil || !record.mayProbe(now) {
		q.mu.Unlock()
		return false
	}
	// This instance makes no other claim meanwhile.
	record.probedAt = now
	q.mu.Unlock()
	isClaimed := false
	err := q.crashLog.Edit(ctx, func(saved []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
		var edited []savorystep.RequestCrashes
		edited, isClaimed = q.editProbe(now, key, saved)
		return edited, isClaimed
	})
	if err != nil {
		log.Warningf("can't claim a probe of request fingerprint=%s: %v", key, err)
		return false
	}
	if !isClaimed {
		return false
	}
	q.mu.Lock()
	if q.records[key] != record {
		// Another instance has cleared the crashes meanwhile. Publishing them would
		// quarantine the request again.
		q.mu.Unlock()
		return true
	}
	record.probes++
	record.isPublished = true
	fact := record.toFact()
	q.mu.Unlock()
	log.Infof("request fingerprint=%s (%s) is sent once although it is quarantined, because endpoints answered it before they crashed", key, fact.Request)
	q.facts.Publish(savorystep.FactCrash, key.String(), fact)
	return true
}

// editProbe adds the claim of a probe to the saved crashes. It returns false if another
// instance claimed one lately, or if the crashes that others saved exclude it.
func (q *Quarantine) editProbe(now time.Time, key savorystep.Fingerprint, saved []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	record := q.records[key]
	if record == nil {
		return nil, false
	}
	edited := make([]savorystep.RequestCrashes, 0, len(saved)+1)
	for _, crashes := range saved {
		if crashes.Fingerprint != key {
			edited = append(edited, crashes)
			continue
		}
		if now.Sub(crashes.ProbedAt(now)) < probeInterval {
			return nil, false
		}
		q.applySaved(now, crashes)
	}
	if record.streak >= maxProbedStreak {
		return nil, false
	}
	claimed := record.toSaved(key)
	claimed.ProbedAtMillis = now.UnixMilli()
	return append(edited, claimed), true
}
