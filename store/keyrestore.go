package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

const (
	// keyEraRowKey is the key of the row that says in which era keys without rows
	// count as new again.
	keyEraRowKey savorystep.RowKey = "keyera"
	// eraCheckInterval is the longest time for which an instance that knows keys
	// does without a response of the table. One that has had none for maxEraSilence
	// within the restore window begins the window anew.
	eraCheckInterval = time.Second
	maxEraSilence    = 3 * time.Second
	// maxConcurrentRewrites bounds the rows that are written again at once. It is a
	// few full transactions.
	maxConcurrentRewrites = 256
)

// followRestores notices restores of the table until ctx ends, and then writes the
// keys again that this instance knows.
func (s *IdempotencyStore) followRestores(ctx context.Context) error {
	markedEra := savorystep.FirstStoreEra
	var unwritten []savorystep.RowKey
	var tick <-chan time.Time // nil while there is nothing to check
	_ = s.marker.read(ctx)    // A later response states the era, too.
	for {
		if tick == nil && (markedEra < s.guard.current() || !s.known.isEmpty(s.config.Clock.Now())) {
			tick = time.After(eraCheckInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-s.known.added:
			continue
		case <-s.guard.laterEra:
			unwritten = s.known.keys(s.config.Clock.Now())
			log.Infof("table is in era %d, keys to write again: %d", s.guard.current(), len(unwritten))
			_ = s.marker.read(ctx) // Without the marker the window ends by its time.
		case <-tick:
			tick = nil
		}
		unwritten = s.rewriteKeys(ctx, unwritten)
		era := s.guard.current()
		if era == markedEra || s.guard.isOpen() {
			s.checkEra(ctx)
		} else if s.marker.write(ctx, era) {
			markedEra, unwritten = era, nil
		}
	}
}

// checkEra lets the table state its era if it has not responded for a while and this
// instance has to notice a restore or the end of one.
func (s *IdempotencyStore) checkEra(ctx context.Context) {
	now := s.config.Clock.Now()
	if s.guard.silence(now) >= eraCheckInterval && (s.guard.isOpen() || !s.known.isEmpty(now)) {
		_ = s.marker.read(ctx) // The next check follows in eraCheckInterval.
	}
}

// rewriteKeys writes keys again and returns those that another attempt still holds.
func (s *IdempotencyStore) rewriteKeys(ctx context.Context, keys []savorystep.RowKey) []savorystep.RowKey {
	held := make([]bool, len(keys))
	var group errgroup.Group
	group.SetLimit(maxConcurrentRewrites)
	for i, key := range keys {
		group.Go(func() error {
			held[i] = !s.rewriteKey(ctx, key)
			return nil
		})
	}
	_ = group.Wait() // The writes return no error.
	var rest []savorystep.RowKey
	for i, key := range keys {
		if held[i] {
			rest = append(rest, key)
		}
	}
	return rest
}

// rewriteKey writes a known key again if its row is missing or older. It returns
// false if the row is held by another attempt that may be older.
func (s *IdempotencyStore) rewriteKey(ctx context.Context, key savorystep.RowKey) bool {
	version, era := savorystep.RowVersion(0), s.guard.current()
	for {
		known, ok := s.known.get(key, s.config.Clock.Now())
		if !ok {
			return true
		}
		w := s.writes.submit(key, version, era, known.encode(era))
		var row savorystep.Row
		select {
		case <-ctx.Done():
			return true
		case row = <-w.result:
		}
		version, era = row.Version, row.Era.OrFirst()
		if row.Version == 0 {
			continue
		}
		current, err := decodeKeyRow(row)
		if err != nil {
			return true
		}
		if known, ok = s.known.get(key, s.config.Clock.Now()); !ok { // It may have changed since.
			return true
		}
		if !known.replaces(current, era) {
			return current.Attempt == known.Attempt || current.State != keyPermitted || known.State == keyReleased
		}
	}
}

// replaces reports whether the row is later than one of a restored table that is in an
// era.
func (r keyRow) replaces(current keyRow, era savorystep.StoreEra) bool {
	isOfCopy := current.Era.OrFirst() < era
	switch {
	case current.State == keyCompleted:
		return false
	case current.Attempt == r.Attempt:
		return current.State == keyPermitted && r.State != keyPermitted
	case isOfCopy && current.Sequence > 0 && current.Sequence < r.Sequence:
		return true
	default:
		return current.State == keyReleased && r.State != keyReleased
	}
}

// resolveUnfinished waits for writes that end attempts and were given up by their
// callers, until ctx ends. A write that met a restored table is written again.
func (s *IdempotencyStore) resolveUnfinished(ctx context.Context) error {
	var group errgroup.Group
	for {
		select {
		case <-ctx.Done():
			return group.Wait()
		case w := <-s.unfinished:
			group.Go(func() error {
				defer s.unresolvedAttempts.Add(-1)
				select {
				case <-ctx.Done():
				case row := <-w.result:
					if !w.tookEffect(row) && row.Era.OrFirst() > savorystep.FirstStoreEra {
						s.rewriteKey(ctx, w.key)
					}
				}
				return nil
			})
		}
	}
}

// followWrite lets resolveUnfinished wait for a write.
func (s *IdempotencyStore) followWrite(w *rowWrite) {
	s.unresolvedAttempts.Add(1)
	select {
	case s.unfinished <- w:
	default:
		s.unresolvedAttempts.Add(-1)
		log.Warningf("queue of %d unfinished writes is full, a key may stay taken after a restore", maxAbandonedAttempts)
	}
}
