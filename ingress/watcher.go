package ingress

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"savorystep"
	"savorystep/endpoint"
)

const (
	// listInterval is the interval between reads of the endpoint list. Even if one
	// read fails, it stays below the shortest limit in which requests to a leaving
	// endpoint must end, 2.5 s.
	listInterval = 800 * time.Millisecond
	// operatorChangesWait is the timeout of a long poll for changes of the
	// operators' configuration.
	operatorChangesWait = 1500 * time.Millisecond
	// minBackoff is the delay after a failed call. It doubles with each further
	// failure up to maxBackoff, so that a store that is down gets few calls from
	// each instance, and its recovery is noticed well before it counts as stable,
	// 4 s later.
	minBackoff = 250 * time.Millisecond
	maxBackoff = time.Second
	// emptyStoreInterval is the interval between reads of a store that has no
	// version yet, for which a long poll is not possible. The operators write the
	// first version before traffic starts.
	emptyStoreInterval = 500 * time.Millisecond
	// relistGrace is how long endpoints that are missing from the list after a
	// store outage still get requests. Endpoints that are alive are listed again
	// within 2 s.
	relistGrace = 1800 * time.Millisecond
	// restoredGrace is the same for endpoints that a restored store lacks: they are
	// written again within 2 s, and read up to listInterval later.
	restoredGrace = 3 * time.Second
	// lastListMargin is the time before the end of the grace at which the list is read
	// once more.
	lastListMargin = 100 * time.Millisecond
	// minOutage is the shortest store outage after which entries may be missing
	// because they expired during the outage. An entry expires when three reports
	// are missed, of which two may have been missed before the first failed read.
	minOutage = time.Second
)

// WatcherConfig configures a Watcher.
type WatcherConfig struct {
	Catalog savorystep.Catalog
	Router  *Router
	Clock   savorystep.Clock
	// RegionByZone maps availability zones to their regions. The endpoint list has
	// zones only.
	RegionByZone map[savorystep.Zone]savorystep.Region
	// Retained fetches what other instances retain after the store has come back from
	// a copy. If it is nil, this instance does not ask them.
	Retained savorystep.RetainedStates
}

// A Watcher keeps the routing and endpoints of a Router up to date with the
// catalog.
type Watcher struct {
	config WatcherConfig
	// operatorMu guards operatorState.
	operatorMu    sync.Mutex
	operatorState operatorState
	// retainedQueries holds the query that is to be sent to other instances.
	retainedQueries chan savorystep.RetainedQuery
	// graceUntil holds the endpoints that were missing from the list after a store
	// outage, with the time until which they still get requests.
	graceUntil map[savorystep.EndpointID]time.Time
	// graceEnd is until when endpoints that the store removes after it came back still
	// get requests.
	graceEnd time.Time
	// listFailedSince is when reads of the endpoint list began to fail, zero while
	// they succeed.
	listFailedSince time.Time
	// operatorReadsRecoveredAt is when the store last served a read of the operators'
	// configuration after one that it did not. It is written by the goroutine that watches the
	// configuration.
	operatorReadsRecoveredAt atomic.Pointer[time.Time]
}

// NewWatcher returns a watcher that is not started.
func NewWatcher(config WatcherConfig) *Watcher {
	return &Watcher{config: config, graceUntil: make(map[savorystep.EndpointID]time.Time), retainedQueries: make(chan savorystep.RetainedQuery, 1)}
}

// Start starts watching in goroutines. The channel receives nil after ctx ends and
// all goroutines have returned.
func (w *Watcher) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	var group sync.WaitGroup
	group.Go(func() { w.watchList(ctx) })
	group.Go(func() { w.learnRetained(ctx) })
	group.Go(func() { w.watchOperatorChanges(ctx) })
	go func() {
		group.Wait()
		done <- nil
	}()
	return done
}

// watchOperatorChanges applies changes of the operators' configuration.
func (w *Watcher) watchOperatorChanges(ctx context.Context) {
	var version savorystep.CatalogVersion
	dep := dependency{name: "operators' configuration"}
	// The first configuration may come from a peer and be seconds old, so the
	// second read does not wait for changes.
	var wait time.Duration
	lastReadAt := w.config.Clock.Now()
	isStoreFailing := false
	for ctx.Err() == nil {
		changes, err := w.config.Catalog.OperatorChanges(ctx, version, wait)
		now := w.config.Clock.Now()
		wasStoreFailing := isStoreFailing
		isStoreFailing = err != nil || changes.IsFallback
		if wasStoreFailing && !isStoreFailing {
			w.operatorReadsRecoveredAt.Store(&now)
			w.extendHold(now.Sub(lastReadAt))
		}
		dep.record(now, err)
		if err != nil {
			// A store that has come back from a copy may have no change after the
			// version to wait for.
			wait = 0
			savorystep.Sleep(ctx, dep.backoff())
			continue
		}
		hadVersion, isRestored := version != 0, changes.Version.IsOfOtherEra(version)
		version = changes.Version
		w.applyOperatorChanges(now, changes, now.Sub(lastReadAt))
		lastReadAt = now
		if !hadVersion || isRestored {
			w.requestRetained(version)
		}
		if version == 0 {
			savorystep.Sleep(ctx, emptyStoreInterval)
			continue
		}
		if hadVersion {
			wait = operatorChangesWait
		}
	}
}

// applyOperatorChanges applies changes of the operators' configuration.
func (w *Watcher) applyOperatorChanges(now time.Time, changes savorystep.OperatorChanges, sinceLastRead time.Duration) {
	w.operatorMu.Lock()
	defer w.operatorMu.Unlock()
	w.operatorState.apply(now, w.config.Router, changes, sinceLastRead)
}

// extendHold extends the time for which the state of an earlier era stays in force.
func (w *Watcher) extendHold(outage time.Duration) {
	w.operatorMu.Lock()
	defer w.operatorMu.Unlock()
	w.operatorState.extendHold(outage)
}

// difference returns the items of list that are not in other.
func difference[T comparable](list, other []T) []T {
	excluded := make(map[T]bool, len(other))
	for _, item := range other {
		excluded[item] = true
	}
	var rest []T
	for _, item := range list {
		if !excluded[item] {
			rest = append(rest, item)
		}
	}
	return rest
}

// watchList applies changes of the endpoint list, at most once per listInterval.
func (w *Watcher) watchList(ctx context.Context) {
	var version savorystep.CatalogVersion
	dep := dependency{name: "endpoint list"}
	for ctx.Err() == nil {
		startedAt := w.config.Clock.Now()
		changes, err := w.config.Catalog.EndpointChanges(ctx, version, listInterval)
		now := w.config.Clock.Now()
		dep.record(now, err)
		if err != nil {
			w.recordListFailure(now)
			savorystep.Sleep(ctx, dep.backoff())
			continue
		}
		isFirst := version == 0 && changes.Version != 0
		isRestored := changes.Version.IsOfOtherEra(version)
		if changes.Version < version {
			w.config.Router.WithTable(func(t *endpoint.Table) { t.ForgetVersions() })
		}
		version = changes.Version
		w.applyList(now, changes, isRestored)
		w.config.Router.WithTable(func(t *endpoint.Table) { t.ListRead(changes.ReadAt(startedAt, now)) })
		if !isFirst {
			// The first list may come from a peer and be a second old, so the
			// second read follows at once.
			savorystep.Sleep(ctx, w.nextListRead(now, startedAt).Sub(now))
		}
	}
}

// nextListRead returns when the list is read after a read that began at startedAt. If a
// grace ends before the usual time, it is read once more before that.
func (w *Watcher) nextListRead(now, startedAt time.Time) time.Time {
	next := startedAt.Add(listInterval)
	last := w.graceEnd.Add(-lastListMargin)
	if len(w.graceUntil) > 0 && now.Before(last) && last.Before(next) {
		return last
	}
	return next
}

// recordListFailure records a failed read of the endpoint list.
func (w *Watcher) recordListFailure(now time.Time) {
	if w.listFailedSince.IsZero() {
		w.listFailedSince = now
	}
	w.config.Router.WithTable(func(t *endpoint.Table) { t.SetListFailing(now, true) })
}

// applyList applies changes of the endpoint list. After a store outage, and if the
// store has been restored from a copy that lacks them, removed endpoints get a grace
// time.
func (w *Watcher) applyList(now time.Time, changes savorystep.EndpointChanges, isRestored bool) {
	switch {
	case isRestored:
		w.graceEnd = now.Add(restoredGrace)
	case !w.listFailedSince.IsZero() && now.Sub(w.listFailedSince) >= minOutage:
		w.graceEnd = w.recoveryTime(now).Add(relistGrace)
	}
	isDelayed := isRestored || !w.listFailedSince.IsZero()
	w.listFailedSince = time.Time{}
	w.config.Router.WithTable(func(t *endpoint.Table) {
		if isDelayed {
			t.DelayPending(now)
		}
		t.SetListFailing(now, false)
		w.removeEndpoints(now, t, removedEndpoints(t, changes))
		for _, entry := range changes.Endpoints {
			delete(w.graceUntil, entry.ID)
			t.SetExpiry(entry.ID, time.Time{})
			entry.Place.Region = w.config.RegionByZone[entry.Place.Zone]
			if t.Put(now, entry) && entry.State == savorystep.StateLeaving {
				log.Debugf("endpoint %s is leaving", entry.ID)
			}
		}
		w.removeExpired(now, t)
		t.PutPending(now)
		logRestarts(t.TakeRestarts())
	})
	w.config.Router.hasEndpoints.Store(true)
}

// removedEndpoints returns the endpoints of the table that changes remove: those
// listed as removed or, if changes has the full list, those missing from it.
func removedEndpoints(t *endpoint.Table, changes savorystep.EndpointChanges) []savorystep.EndpointID {
	if !changes.Full {
		return changes.Removed
	}
	listed := make([]savorystep.EndpointID, len(changes.Endpoints))
	for i, entry := range changes.Endpoints {
		listed[i] = entry.ID
	}
	return difference(t.IDs(), listed)
}

// recoveryTime returns when the store recovered from an outage, given that the
// list was read again at now. It is earlier if the operators' configuration was
// read before.
func (w *Watcher) recoveryTime(now time.Time) time.Time {
	if at := w.operatorReadsRecoveredAt.Load(); at != nil && at.After(w.listFailedSince) && at.Before(now) {
		return *at
	}
	return now
}

// removeEndpoints removes endpoints from the table. Until graceEnd the entries may be
// missing only because of an outage or a restore of the store, and the endpoints still
// get requests.
func (w *Watcher) removeEndpoints(now time.Time, t *endpoint.Table, ids []savorystep.EndpointID) {
	for _, id := range ids {
		switch _, hasGrace := w.graceUntil[id]; {
		case hasGrace:
		case now.Before(w.graceEnd):
			w.graceUntil[id] = w.graceEnd
			t.SetExpiry(id, w.graceEnd)
		case t.Remove(now, id):
			log.Infof("endpoint %s is gone", id)
		}
	}
}

// removeExpired removes the endpoints whose grace time has ended.
func (w *Watcher) removeExpired(now time.Time, t *endpoint.Table) {
	for id, until := range w.graceUntil {
		if !now.Before(until) {
			delete(w.graceUntil, id)
			t.RemoveExpired(now, id)
			log.Infof("endpoint %s is gone: not listed again by the store in time after its outage or restore", id)
		}
	}
}
