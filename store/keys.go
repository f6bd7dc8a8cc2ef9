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

// maxBegin bounds the time from the first write of an attempt to its
// permission, on the monotonic clock. It keeps an attempt that was paused from
// finding its own late write after the key's completed row was cleaned up, so
// it must be shorter than any retention.
const maxBeginTime = 30 * time.Second

// maxSettlements bounds the attempts that are settled in the background.
const maxAbandonedAttempts = 8192

// Keys is the ledger of idempotency keys.
type Keys struct {
	config       KeysConfig
	writes       *batcher
	seenAttempts *seenRows
	abandoned    chan abandonedAttempt
	// pending counts the settlements that are not done.
	unresolvedAttempts atomic.Int64
}

// NewKeys returns the ledger of idempotency keys. It works once it is started.
func NewKeys(config KeysConfig) *Keys {
	config = config.withDefaults()
	return &Keys{
		config:       config,
		writes:       newBatcher(config),
		seenAttempts: newSeenRows(),
		abandoned:    make(chan abandonedAttempt, maxAbandonedAttempts),
	}
}

// Start begins to write and to settle.
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

// Begin asks for permission to run a keyed request.
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

// refusal returns the error for a request whose key could not be asked for. If
// another attempt was seen at the key, the request may have run.
func (k *Keys) unavailableError(key savorystep.RowKey) error {
	if k.seenAttempts.contains(key) {
		return savorystep.NewError(savorystep.KindInProgress, "another attempt was seen and the platform does not answer")
	}
	return savorystep.NewError(savorystep.KindPlatformDown, "no permission from the key ledger")
}

// judge says what the row of another attempt means: the key is free, or it has
// an answer, or an error tells that the other attempt runs or is lost.
func (k *Keys) evaluateRow(
	ctx context.Context, row savorystep.Row, fingerprint savorystep.Fingerprint,
) (isFree bool, answer *savorystep.StoredResponse, err error) {
	if row.Version == 0 {
		return true, nil, nil
	}
	value, err := decodeKeyRow(row)
	if err != nil {
		// A row that cannot be read may stand for a request that ran.
		return false, nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "the key's row cannot be read")
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
		return false, nil, savorystep.NewError(savorystep.KindInProgress, "another attempt has the permission")
	}
	return false, nil, savorystep.NewError(savorystep.KindOutcomeUnknown, "an attempt did not report its outcome")
}

// load returns the stored answer of a done row. The request ran, so a failure
// is no PlatformDown, which would say that it did not.
func (k *Keys) loadAnswer(ctx context.Context, value keyRow) (*savorystep.StoredResponse, error) {
	stored := value.Answer
	if stored == nil {
		object, err := k.config.Objects.Get(ctx, value.Object)
		if err == nil {
			stored, err = decodeStoredAnswer(object)
		}
		if savorystep.KindOf(err) == savorystep.KindNotFound {
			return nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "the stored answer is gone")
		}
		if err != nil {
			return nil, savorystep.WrapError(savorystep.KindInProgress, err, "the stored answer cannot be read now")
		}
	}
	return &savorystep.StoredResponse{Status: stored.Status, Header: stored.Header, Body: stored.Body}, nil
}
