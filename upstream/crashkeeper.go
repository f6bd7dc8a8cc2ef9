package upstream

import (
	"context"
	"time"

	"savorystep"
)

const (
	// crashSaveInterval bounds the calls of a CrashKeeper, and is the interval of its
	// checks whether the store has come back from a copy, which make no call.
	crashSaveInterval = time.Second
	// crashSaveTimeout bounds one call.
	crashSaveTimeout = 5 * time.Second
)

// A CrashKeeperConfig configures a CrashKeeper.
type CrashKeeperConfig struct {
	Clock      savorystep.Clock
	CrashLog   savorystep.CrashLog
	Quarantine *Quarantine
	// StoreEra returns the era of the store that has the crash log.
	StoreEra func() savorystep.StoreEra
}

// A CrashKeeper saves the crashes of quarantined fingerprints in a crash log, and applies
// those of the log at its start, so that a quarantine outlives all instances. Until the
// log was read once, requests are forwarded as if it had no crashes.
type CrashKeeper struct {
	config CrashKeeperConfig
}

var _ savorystep.Runner = &CrashKeeper{}

// NewCrashKeeper returns a keeper that is not started.
func NewCrashKeeper(config CrashKeeperConfig) *CrashKeeper {
	return &CrashKeeper{config: config}
}

// Start implements savorystep.Runner. The channel receives nil after ctx ends.
func (k *CrashKeeper) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		k.run(ctx)
		done <- nil
	}()
	return done
}

// run reads the crash log once, and edits it when there is something to save.
func (k *CrashKeeper) run(ctx context.Context) {
	era := k.config.StoreEra()
	for ctx.Err() == nil {
		if err := k.sync(ctx); err != nil {
			log.Warningf("read or write the crash log, trying again in %v: %v", crashSaveInterval, err)
			savorystep.Sleep(ctx, crashSaveInterval)
			continue
		}
		savorystep.Sleep(ctx, crashSaveInterval)
		era = k.awaitChange(ctx, era)
	}
}

// awaitChange waits until there is something to save, or the store has come back from a
// copy, which may lack what was saved. It returns the era of the store.
func (k *CrashKeeper) awaitChange(ctx context.Context, era savorystep.StoreEra) savorystep.StoreEra {
	ticker := time.NewTicker(crashSaveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-k.config.Quarantine.unsaved.signal:
			return era
		case <-ticker.C:
		case <-ctx.Done():
			return era
		}
		if newest := k.config.StoreEra(); newest.OrFirst() != era.OrFirst() {
			k.config.Quarantine.markAllUnsaved()
			era = newest
		}
	}
}

// sync applies the saved crashes if none were read before, and saves those that are not.
func (k *CrashKeeper) sync(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, crashSaveTimeout)
	defer cancel()
	q := k.config.Quarantine
	var changes map[savorystep.Fingerprint]uint64
	err := k.config.CrashLog.Edit(ctx, func(saved []savorystep.RequestCrashes) ([]savorystep.RequestCrashes, bool) {
		now := k.config.Clock.Now()
		q.applySaved(now, saved)
		changes = q.unsaved.list()
		return q.editSaved(now, saved, changes)
	})
	if err != nil {
		return err
	}
	q.unsaved.confirm(changes)
	return nil
}
