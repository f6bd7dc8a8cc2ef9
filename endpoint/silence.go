package endpoint

import (
	"time"

	"savorystep"
)

const (
	// minSilenceReports is the number of instances to which an endpoint must be silent
	// before all take it for one that may have restarted. One alone may have a fault of its
	// own link.
	minSilenceReports = 2
	// silenceWindow is the time within which they report it.
	silenceWindow = 2 * time.Second
	// contactWindow is how long an endpoint that has answered this instance counts as
	// reachable, whatever others report.
	contactWindow = time.Second
	// maxSilenceDelay is how long after an endpoint became silent it is known at most: the
	// time until a connection counts as dead, and until the report arrives.
	maxSilenceDelay = 2 * time.Second
)

// A silence holds when instances, by id, found that an incarnation of an endpoint is
// silent: it accepted no connection in time, or acknowledged nothing. It may have lost
// power and start again, or only be cut off.
type silence struct {
	startedAtMillis int64
	reports         map[savorystep.InstanceID]time.Time
}

// RecordSilent records that an endpoint was silent to this instance. It returns true if the
// other instances are to be told.
func (t *Table) RecordSilent(now time.Time, e savorystep.Endpoint) bool {
	s := t.byID[e.ID]
	if s == nil || s.StartedAtMillis != e.StartedAtMillis || t.IsStopping(e) {
		return false
	}
	s.suspectCold(now)
	known := t.silenceOf(now, e.ID, e.StartedAtMillis)
	reportedAt, isReported := known.reports[t.config.Self]
	known.reports[t.config.Self] = now
	if len(known.reports) > minSilenceReports {
		// The others know from the instances that reported it before.
		t.hearSilence(now, s, known)
		return false
	}
	t.hearSilence(now, s, known)
	return (!isReported || now.Sub(reportedAt) >= endingReportInterval) && !t.mayBeCutOff(now, s.Place.Zone)
}

// ApplySilent records that an endpoint was silent to another instance, an age ago. It
// returns true if the endpoint counts as one that may have restarted from now on.
func (t *Table) ApplySilent(now time.Time, from savorystep.InstanceID, id savorystep.EndpointID, startedAtMillis int64, age time.Duration) bool {
	s := t.byID[id]
	if s == nil || s.StartedAtMillis != startedAtMillis || age > maxReportAge {
		return false
	}
	known := t.silenceOf(now, id, startedAtMillis)
	known.reports[from] = now
	_, isOwn := known.reports[t.config.Self]
	if !isOwn && now.Sub(s.answeredAt) < contactWindow {
		return false
	}
	return t.hearSilence(now, s, known)
}

// hearSilence lets an endpoint count as one that may have restarted, if enough instances
// reported that it is silent. It returns true if that is new.
func (t *Table) hearSilence(now time.Time, s *endpointState, known *silence) bool {
	if len(known.reports) < minSilenceReports {
		return false
	}
	isNew := s.ending == nil
	t.hearEnding(now, s.ID, s.StartedAtMillis, true)
	return isNew
}

// RecordRunning records that an endpoint answered this instance on a connection that was
// opened at openedAt. If it was silent since, it runs on, since a process keeps no
// connections of the one before. It returns true if the other instances are to be told.
func (t *Table) RecordRunning(now time.Time, e savorystep.Endpoint, openedAt time.Time) bool {
	known := t.endings[e.ID]
	if known == nil || openedAt.IsZero() || !openedAt.Before(known.since.Add(-maxSilenceDelay)) {
		return false
	}
	return t.ApplyRunning(now, e.ID, e.StartedAtMillis)
}

// ApplyRunning records that an endpoint which was silent runs on. It returns false if that
// was known.
func (t *Table) ApplyRunning(now time.Time, id savorystep.EndpointID, startedAtMillis int64) bool {
	s, known := t.byID[id], t.endings[id]
	if s == nil || known == nil || !known.isUnproven || known.startedAtMillis != startedAtMillis || s.StartedAtMillis != startedAtMillis {
		return false
	}
	delete(t.endings, id)
	delete(t.silences, id)
	s.ending, s.suspectUntil, s.answeredAt = nil, time.Time{}, now
	return true
}

// silenceOf returns the silence of an incarnation with the reports in silenceWindow.
func (t *Table) silenceOf(now time.Time, id savorystep.EndpointID, startedAtMillis int64) *silence {
	known := t.silences[id]
	if known == nil || known.startedAtMillis != startedAtMillis {
		t.evictSilences(now)
		known = &silence{startedAtMillis: startedAtMillis, reports: make(map[savorystep.InstanceID]time.Time)}
		t.silences[id] = known
	}
	known.evict(now)
	return known
}

// evict drops the reports before the last silenceWindow.
func (s *silence) evict(now time.Time) {
	for id, at := range s.reports {
		if now.Sub(at) >= silenceWindow {
			delete(s.reports, id)
		}
	}
}

// evictSilences drops the silences without recent reports.
func (t *Table) evictSilences(now time.Time) {
	for id, known := range t.silences {
		if known.evict(now); len(known.reports) == 0 {
			delete(t.silences, id)
		}
	}
}

// mayBeCutOff reports whether a link may be at fault and not the endpoint that was silent
// to this instance: more endpoints were silent to it lately than answered it, or no
// endpoint of the availability zone has answered it since a first one was silent.
func (t *Table) mayBeCutOff(now time.Time, zone savorystep.Zone) bool {
	silent, silentInZone := 0, 0
	var firstInZone time.Time
	for id, known := range t.silences {
		at, isOwn := known.reports[t.config.Self]
		s := t.byID[id]
		if s == nil || !isOwn || now.Sub(at) >= silenceWindow {
			continue
		}
		silent++
		if s.Place.Zone != zone {
			continue
		}
		silentInZone++
		if firstInZone.IsZero() || at.Before(firstInZone) {
			firstInZone = at
		}
	}
	answered, answeredInZone := 0, 0
	for _, s := range t.byID {
		if now.Sub(s.answeredAt) < silenceWindow {
			answered++
		}
		if s.Place.Zone == zone && s.answeredAt.After(firstInZone) {
			answeredInZone++
		}
	}
	return silent > answered || silentInZone > 1 && answeredInZone == 0
}
