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
	_ savorystep.IdempotencyStore = &Keys{}
	_ savorystep.Runner           = &Keys{}
)

// maxBeginTime bounds the time from the first write of an attempt to its
// permission, on the monotonic clock. An attempt that was paused for longer
// might find its own late write after the key's completed row was deleted, so
// maxBeginTime must be shorter than any retention.
const maxBeginTime = 30 * time.Second

// maxAbandonedAttempts bounds the abandoned attempts that wait for resolution.
const maxAbandonedAttempts = 8192

// Keys is the ledger of idempotency keys. It allows each keyed request to run
// at most once.
type Keys struct {
	config       KeysConfig
	writes       *batcher
	seenAttempts *seenRows
	abandoned    chan abandonedAttempt
	// unresolvedAttempts counts the abandoned attempts that are not resolved.
	unresolvedAttempts atomic.Int64
}

// NewKeys returns a ledger of idempotency keys, which must be started.
func NewKeys(config KeysConfig) *Keys {
	config = config.withDefaults()
	return &Keys{
		config:       config,
		writes:       newBatcher(config),
		seenAttempts: newSeenRows(),
		abandoned:    make(chan abandonedAttempt, maxAbandonedAttempts),
	}
}

// Start starts writing rows, resolving abandoned attempts and deleting old
// keys. The channel yields once all of it has stopped after ctx ended.
func (k *Keys) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- k.run(ctx) }()
	return done
}

func (k *Keys) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.writes.run(ctx) })
	group.Go(func() error { return k.resolveAbandoned(ctx) })
	group.Go(func() error { return k.sweep(ctx) })
	return group.Wait()
}

// Begin requests permission to run a keyed request. See savorystep.Keys for the
// error kinds.
func (k *Keys) Begin(
	ctx context.Context, service savorystep.Service, key savorystep.IdempotencyKey, fingerprint savorystep.Fingerprint,
) (savorystep.KeyedAttempt, error) {
	rowKey, err := keyRowKey(service, key)
	if err != nil {
		return nil, err
	}
	if !k.writes.isAccepting() {
		return nil, k.unavailableError(rowKey)
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.BeginTimeout)
	defer cancel()
	id := savorystep.AttemptID(rand.Text())
	value := encodeCBOR(keyRow{State: keyPermitted, Attempt: id, Fingerprint: fingerprint})
	start := k.config.Clock.Now()
	version := savorystep.RowVersion(0)
	for {
		w := k.writes.submit(rowKey, version, value)
		var row savorystep.Row
		select {
		case <-ctx.Done():
			k.abandonAttempt(w, id)
			return nil, k.unavailableError(rowKey)
		case row = <-w.result:
		}
		if w.tookEffect(row) {
			if k.config.Clock.Now().Sub(start) > maxBeginTime {
				k.abandonAttempt(w, id)
				return nil, k.unavailableError(rowKey)
			}
			return &attempt{keys: k, id: id, row: row, fingerprint: fingerprint}, nil
		}
		isFree, stored, err := k.evaluateRow(ctx, row, fingerprint)
		if err != nil {
			return nil, err
		}
		if !isFree {
			return &attempt{keys: k, answer: stored}, nil
		}
		version = row.Version
	}
}

// unavailableError returns the error for a request when the ledger gave no
// permission in time. If another attempt was seen at the key, the request may
// have run.
func (k *Keys) unavailableError(key savorystep.RowKey) error {
	if k.seenAttempts.contains(key) {
		return savorystep.NewError(savorystep.KindInProgress, "another attempt with this key was seen and the key ledger is unavailable")
	}
	return savorystep.NewError(savorystep.KindPlatformDown, "the key ledger gave no permission in time")
}

// evaluateRow interprets the row of another attempt: the key is free, it has a
// stored answer, or the error says that the other attempt is running or its
// outcome is unknown.
func (k *Keys) evaluateRow(
	ctx context.Context, row savorystep.Row, fingerprint savorystep.Fingerprint,
) (isFree bool, answer *savorystep.StoredResponse, err error) {
	if row.Version == 0 {
		return true, nil, nil
	}
	value, err := decodeKeyRow(row)
	if err != nil {
		// A row that can't be decoded may belong to a request that ran.
		return false, nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "decode the key's row")
	}
	if value.State == keyReleased {
		k.seenAttempts.remove(row.Key)
		return true, nil, nil
	}
	if value.Fingerprint != fingerprint {
		return false, nil, savorystep.NewError(savorystep.KindKeyConflict, "the key belongs to another request")
	}
	now := k.config.Clock.Now()
	firstSeen := k.seenAttempts.firstSeen(row, now)
	if value.State == keyCompleted {
		answer, err = k.loadAnswer(ctx, value)
		return false, answer, err
	}
	if now.Sub(firstSeen) < k.config.InProgressWindow {
		return false, nil, savorystep.NewError(savorystep.KindInProgress, "another attempt with this key is in progress")
	}
	return false, nil, savorystep.NewError(savorystep.KindOutcomeUnknown, "the outcome of an earlier attempt with this key is unknown")
}

// loadAnswer returns the stored answer of a completed request. Because the
// request ran, a failure must not have kind KindPlatformDown, which would mean
// that it did not run.
func (k *Keys) loadAnswer(ctx context.Context, value keyRow) (*savorystep.Answer, error) {
	stored := value.Answer
	if stored == nil {
		object, err := k.config.Objects.Get(ctx, value.Object)
		if err == nil {
			stored, err = decodeStoredAnswer(object)
		}
		if savorystep.KindOf(err) == savorystep.KindNotFound {
			return nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "stored answer %q is missing", value.Object)
		}
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindInProgress, err, "read stored answer %q", value.Object)
		}
	}
	return &savorystep.StoredResponse{Status: stored.Status, Header: stored.Header, Body: stored.Body}, nil
}
