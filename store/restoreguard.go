package store

import (
	"sync"
	"time"

	"savorystep"
)

// A restoreGuard holds the era of the table and says whether the table may lack rows
// that other instances have not written again yet.
type restoreGuard struct {
	// window is the time from the first response of an era until all instances have
	// written their rows again. A silence of the table within it that is longer than
	// maxSilence begins it anew, because others have not noticed the era during it.
	window, maxSilence time.Duration
	// laterEra is signalled when a later era is observed.
	laterEra chan struct{}

	mu       sync.Mutex
	era      savorystep.StoreEra
	open     bool
	closesAt time.Time
	// observedAt is the time of the last response of the table.
	observedAt time.Time
}

func newRestoreGuard(window, maxSilence time.Duration) *restoreGuard {
	return &restoreGuard{window: window, maxSilence: maxSilence, laterEra: make(chan struct{}, 1), era: savorystep.FirstStoreEra}
}

// observe records the era that a response of the table states. It ignores a late
// response of an earlier era.
func (g *restoreGuard) observe(era savorystep.StoreEra, now time.Time) {
	era = era.OrFirst()
	g.mu.Lock()
	defer g.mu.Unlock()
	if era < g.era {
		return
	}
	silence := now.Sub(g.observedAt)
	if silence > 0 {
		g.observedAt = now
	}
	switch {
	case era > g.era:
		g.era, g.open, g.closesAt = era, true, now.Add(g.window)
		select {
		case g.laterEra <- struct{}{}:
		default: // The signal is already pending.
		}
	case !g.open:
	case silence > g.maxSilence:
		g.closesAt = now.Add(g.window)
	case !now.Before(g.closesAt):
		g.open = false
	default:
	}
}

// current returns the latest era observed.
func (g *restoreGuard) current() savorystep.StoreEra {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.era
}

// isOpen reports whether the table may lack rows that were not written again yet.
func (g *restoreGuard) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// close ends the window of an era.
func (g *restoreGuard) close(era savorystep.StoreEra) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.era == era {
		g.open = false
	}
}

// silence returns the time since the last response of the table.
func (g *restoreGuard) silence(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Sub(g.observedAt)
}
