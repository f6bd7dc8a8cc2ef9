package store

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

var (
	_ savorystep.IdempotencyStore = &IdempotencyStore{}
	_ savorystep.Runner           = &IdempotencyStore{}
)

// maxBeginTime bounds the time from the first write of an attempt to its
// permission, on the monotonic clock. An attempt that was paused for longer
// might find its own late write after the key's completed row was deleted, so
// maxBeginTime must be shorter than any retention.
const maxBeginTime = 30 * time.Second

// maxAbandonedAttempts bounds the abandoned attempts that wait for resolution.
const maxAbandonedAttempts = 8192

// An IdempotencyStore keeps the states of idempotency keys in the table. It
// allows each keyed request to run at most once.
type IdempotencyStore struct {
	config       IdempotencyStoreConfig
	guard        *restoreGuard
	marker       *eraMarker
	writes       *batcher
	known        *knownKeys
	seenAttempts *seenRows
	abandoned    chan abandonedAttempt
	unfinished   chan *rowWrite
	// unresolvedAttempts counts the abandoned attempts that are not resolved.
	unresolvedAttempts atomic.Int64
}

// NewIdempotencyStore returns an idempotency store, which must be started.
func NewIdempotencyStore(config IdempotencyStoreConfig) *IdempotencyStore {
	config = config.withDefaults()
	guard := newRestoreGuard(config.RestoreWindow, maxEraSilence)
	return &IdempotencyStore{
		config:       config,
		guard:        guard,
		marker:       &eraMarker{table: config.Table, clock: config.Clock, key: keyEraRowKey, guard: guard},
		writes:       newBatcher(config, guard),
		known:        newKnownKeys(),
		seenAttempts: newSeenRows(),
		abandoned:    make(chan abandonedAttempt, maxAbandonedAttempts),
		unfinished:   make(chan *rowWrite, maxAbandonedAttempts),
	}
}

// Start starts writing rows, resolving abandoned attempts and deleting old
// keys. The channel yields once all of it has stopped after ctx ended.
func (s *IdempotencyStore) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.run(ctx) }()
	return done
}

func (s *IdempotencyStore) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.writes.run(ctx) })
	group.Go(func() error { return s.resolveAbandoned(ctx) })
	group.Go(func() error { return s.resolveUnfinished(ctx) })
	group.Go(func() error { return s.followRestores(ctx) })
	group.Go(func() error { return s.sweep(ctx) })
	return group.Wait()
}

// Begin requests permission to run a keyed request. See
// savorystep.IdempotencyStore for the error kinds.
func (s *IdempotencyStore) Begin(
	ctx context.Context, service savorystep.Service, key savorystep.IdempotencyKey, fingerprint savorystep.Fingerprint,
) (savorystep.KeyedAttempt, error) {
	rowKey, err := keyRowKey(service, key)
	if err != nil {
		return nil, err
	}
	if !s.writes.isAccepting() {
		return nil, s.unavailableError(rowKey)
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.BeginTimeout)
	defer cancel()
	id := savorystep.AttemptID(rand.Text())
	value := keyRow{State: keyPermitted, Attempt: id, Fingerprint: fingerprint, Sequence: 1}
	start := s.config.Clock.Now()
	version, era := savorystep.RowVersion(0), s.guard.current()
	for {
		if s.mayBeLost(ctx, rowKey) {
			row, stored, err := s.readKey(ctx, rowKey, fingerprint)
			if err != nil {
				return nil, err
			}
			if stored != nil {
				return &attempt{store: s, response: stored}, nil
			}
			version, era, value.Sequence = row.Version, row.Era.OrFirst(), nextSequence(row)
		}
		w := s.writes.submit(rowKey, version, era, value.encode(era))
		var row savorystep.Row
		select {
		case <-ctx.Done():
			s.abandonAttempt(w, value)
			return nil, s.unavailableError(rowKey)
		case row = <-w.result:
		}
		if w.tookEffect(row) {
			return s.permit(w, row, value, start)
		}
		if row.Era.OrFirst() > era { // The table was restored.
			version, era, value.Sequence = 0, row.Era.OrFirst(), 1
			continue
		}
		isFree, stored, err := s.evaluateRow(ctx, row, fingerprint)
		if err != nil {
			return nil, err
		}
		if !isFree {
			return &attempt{store: s, response: stored}, nil
		}
		version, value.Sequence = row.Version, nextSequence(row)
	}
}

// permit returns the attempt whose write took effect. The attempt is abandoned if the
// write was too slow, or if the table was restored meanwhile: it may have lost the row
// or an earlier one of the key.
func (s *IdempotencyStore) permit(
	w *rowWrite, row savorystep.Row, value keyRow, start time.Time,
) (savorystep.KeyedAttempt, error) {
	if s.config.Clock.Now().Sub(start) > maxBeginTime {
		s.abandonAttempt(w, value)
		return nil, s.unavailableError(w.key)
	}
	s.known.put(w.key, value, start)
	if w.era != s.guard.current() {
		s.known.remove(w.key, value.Attempt)
		s.abandonAttempt(w, value)
		return nil, restoredError()
	}
	return &attempt{store: s, id: value.Attempt, row: row, permission: value}, nil
}

// unavailableError returns the error for a request when the store gave no
// permission in time. If another attempt was seen at the key, the request may
// have run.
func (s *IdempotencyStore) unavailableError(key savorystep.RowKey) error {
	if s.seenAttempts.contains(key) {
		return savorystep.NewError(savorystep.KindInProgress, "another attempt with this key was seen and the idempotency store is unavailable")
	}
	return savorystep.NewError(savorystep.KindPlatformDown, "the idempotency store gave no permission in time")
}

// evaluateRow interprets the row of another attempt: the key is free, it has a
// stored response, or the error says that the other attempt is running or its
// outcome is unknown.
func (s *IdempotencyStore) evaluateRow(
	ctx context.Context, row savorystep.Row, fingerprint savorystep.Fingerprint,
) (isFree bool, response *savorystep.StoredResponse, err error) {
	if row.Version == 0 {
		err := s.checkFree(row, keyRow{})
		return err == nil, nil, err
	}
	value, err := decodeKeyRow(row)
	if err != nil {
		// A row that can't be decoded may belong to a request that ran.
		return false, nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "decode the key's row")
	}
	if value.State == keyReleased {
		if err := s.checkFree(row, value); err != nil {
			return false, nil, err
		}
		s.seenAttempts.remove(row.Key)
		return true, nil, nil
	}
	if value.State == keyPermitted && value.Fingerprint != fingerprint && s.guard.isOpen() {
		return false, nil, restoredError()
	}
	if value.Fingerprint != fingerprint {
		return false, nil, savorystep.NewError(savorystep.KindKeyConflict, "the key belongs to another request")
	}
	now := s.config.Clock.Now()
	firstSeen := s.seenAttempts.firstSeen(row, value, now)
	if value.State == keyCompleted {
		response, err = s.loadResponse(ctx, value)
		return false, response, err
	}
	if now.Sub(firstSeen) < s.config.InProgressWindow {
		return false, nil, savorystep.NewError(savorystep.KindInProgress, "another attempt with this key is in progress")
	}
	return false, nil, savorystep.NewError(savorystep.KindOutcomeUnknown, "the outcome of an earlier attempt with this key is unknown")
}

// loadResponse returns the stored response of a completed request. Because the
// request ran, a failure must not have kind KindPlatformDown, which would mean
// that it did not run.
func (s *IdempotencyStore) loadResponse(ctx context.Context, value keyRow) (*savorystep.StoredResponse, error) {
	stored := value.StoredResponse
	if stored == nil {
		object, err := s.config.Objects.Get(ctx, value.Object)
		if err == nil {
			stored, err = decodeStoredResponse(object)
		}
		if savorystep.KindOf(err) == savorystep.KindNotFound {
			return nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "stored response %q is missing", value.Object)
		}
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindInProgress, err, "read stored response %q", value.Object)
		}
	}
	return &savorystep.StoredResponse{Status: stored.Status, Header: stored.Header, Body: stored.Body}, nil
}
