package ingress

import (
	"context"
	"math/rand/v2"
	"time"

	"savorystep"
)

const (
	// eraCheckInterval is the interval of the checks whether the store has come back from
	// a copy. A check makes no call.
	eraCheckInterval = time.Second
	// maxResaveDelay spreads the calls of all instances after the store has come back
	// from a copy.
	maxResaveDelay = 3 * time.Second
	// minSaveInterval bounds the calls of an instance that sees many crashes.
	minSaveInterval = time.Second
)

// QuarantineKeeperConfig configures a QuarantineKeeper.
type QuarantineKeeperConfig struct {
	Clock      savorystep.Clock
	CrashLog   savorystep.CrashLog
	Quarantine *Quarantine
	// StoreEra returns the era of the store that has the crash log.
	StoreEra func() savorystep.StoreEra
	// FirstStart is true if the system starts for the first time, so that the log is empty.
	FirstStart bool
}

// A QuarantineKeeper saves the crashes of a Quarantine in a crash log, and applies those
// of the log at each start but the system's first, so that a quarantine outlives all
// instances. Until the log was read once, requests are forwarded as if it had no crashes:
// a store that is away must not keep an instance from serving.
type QuarantineKeeper struct {
	config QuarantineKeeperConfig
}

var _ savorystep.Runner = &QuarantineKeeper{}

// NewQuarantineKeeper returns a keeper that is not started.
func NewQuarantineKeeper(config QuarantineKeeperConfig) *QuarantineKeeper {
	return &QuarantineKeeper{config: config}
}

// Start implements savorystep.Runner. The channel receives nil after ctx ends.
func (k *QuarantineKeeper) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		k.run(ctx)
		done <- nil
	}()
	return done
}

// run reads the crash log once, and edits it when there is something to save.
func (k *QuarantineKeeper) run(ctx context.Context) {
	dep := dependency{name: "crash log"}
	era := k.config.StoreEra()
	if k.config.FirstStart {
		era = k.awaitChange(ctx, era)
	}
	for ctx.Err() == nil {
		err := k.sync(ctx)
		dep.record(k.config.Clock.Now(), err)
		if err != nil {
			savorystep.Sleep(ctx, dep.backoff())
			continue
		}
		savorystep.Sleep(ctx, minSaveInterval)
		era = k.awaitChange(ctx, era)
	}
}

// awaitChange waits until there is something to save, or the store has come back from a
// copy, which may lack what was saved. It returns the era of the store.
func (k *QuarantineKeeper) awaitChange(ctx context.Context, era savorystep.StoreEra) savorystep.StoreEra {
	ticker := time.NewTicker(eraCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.config.Quarantine.saveSignal:
			return era
		case <-ticker.C:
		case <-ctx.Done():
			return era
		}
		if newest := k.config.StoreEra(); newest.OrFirst() != era.OrFirst() {
			savorystep.Sleep(ctx, rand.N(maxResaveDelay))
			k.config.Quarantine.markAllUnsaved(k.config.Clock.Now())
			era = newest
		}
	}
}

// sync applies the saved crashes and saves those that are not.
func (k *QuarantineKeeper) sync(ctx context.Context) error {
	q := k.config.Quarantine
	var changes map[savorystep.Fingerprint]uint64
	err := k.config.CrashLog.Edit(ctx, func(saved []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
		changes = q.unsavedChanges()
		return q.edit(k.config.Clock.Now(), saved)
	})
	if err != nil {
		return err
	}
	q.confirmSaved(changes)
	return nil
}
