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
const maxBegin = 30 * time.Second

// maxSettlements bounds the attempts that are settled in the background.
const maxSettlements = 8192

// Keys is the ledger of idempotency keys.
type Keys struct {
	config      KeysConfig
	batch       *batcher
	seen        *seenRows
	settlements chan settlement
	// pending counts the settlements that are not done.
	pending atomic.Int64
}

// NewKeys returns the ledger of idempotency keys. It works once it is started.
func NewKeys(config KeysConfig) *Keys {
	config = config.withDefaults()
	return &Keys{
		config:      config,
		batch:       newBatcher(config),
		seen:        newSeenRows(),
		settlements: make(chan settlement, maxSettlements),
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
	group.Go(func() error { return k.batch.run(ctx) })
	group.Go(func() error { return k.settle(ctx) })
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
	if !k.batch.admits() {
		return nil, k.refusal(rowKey)
	}
	ctx, cancel := context.WithTimeout(ctx, k.config.Patience)
	defer cancel()
	id := savorystep.AttemptID(rand.Text())
	value := encodeCBOR(keyRow{State: keyPermitted, Attempt: id, Fingerprint: fingerprint})
	start := k.config.Clock.Now()
	version := savorystep.RowVersion(0)
	for {
		w := k.batch.submit(rowKey, version, value)
		var row savorystep.Row
		select {
		case <-ctx.Done():
			k.giveUp(w, id)
			return nil, k.refusal(rowKey)
		case row = <-w.settled:
		}
		if w.owns(row) {
			if k.config.Clock.Now().Sub(start) > maxBegin {
				k.giveUp(w, id)
				return nil, k.refusal(rowKey)
			}
			return &attempt{keys: k, id: id, row: row, fingerprint: fingerprint}, nil
		}
		free, stored, err := k.judge(ctx, row, fingerprint)
		if err != nil {
			return nil, err
		}
		if !free {
			return &attempt{keys: k, answer: stored}, nil
		}
		version = row.Version
	}
}

// refusal returns the error for a request whose key could not be asked for. If
// another attempt was seen at the key, the request may have run.
func (k *Keys) refusal(key savorystep.RowKey) error {
	if k.seen.has(key) {
		return savorystep.NewError(savorystep.KindInProgress, "another attempt was seen and the platform does not answer")
	}
	return savorystep.NewError(savorystep.KindPlatformDown, "no permission from the key ledger")
}

// judge says what the row of another attempt means: the key is free, or it has
// an answer, or an error tells that the other attempt runs or is lost.
func (k *Keys) judge(
	ctx context.Context, row savorystep.Row, fingerprint savorystep.Fingerprint,
) (free bool, answer *savorystep.StoredResponse, err error) {
	if row.Version == 0 {
		return true, nil, nil
	}
	value, err := decodeKeyRow(row)
	if err != nil {
		// A row that cannot be read may stand for a request that ran.
		return false, nil, savorystep.WrapError(savorystep.KindOutcomeUnknown, err, "the key's row cannot be read")
	}
	if value.State == keyReleased {
		k.seen.forget(row.Key)
		return true, nil, nil
	}
	if value.Fingerprint != fingerprint {
		return false, nil, savorystep.NewError(savorystep.KindKeyConflict, "the key belongs to another request")
	}
	now := k.config.Clock.Now()
	since := k.seen.since(row, now)
	if value.State == keyDone {
		answer, err = k.load(ctx, value)
		return false, answer, err
	}
	if now.Sub(since) < k.config.Progress {
		return false, nil, savorystep.NewError(savorystep.KindInProgress, "another attempt has the permission")
	}
	return false, nil, savorystep.NewError(savorystep.KindOutcomeUnknown, "an attempt did not report its outcome")
}

// load returns the stored answer of a done row. The request ran, so a failure
// is no PlatformDown, which would say that it did not.
func (k *Keys) load(ctx context.Context, value keyRow) (*savorystep.StoredResponse, error) {
	stored := value.Answer
	if stored == nil {
		object, err := k.config.Objects.Get(ctx, value.Object)
		if err == nil {
			stored, err = decodeAnswer(object)
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
