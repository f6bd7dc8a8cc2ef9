package peer

import (
	"context"

	"savorystep"
)

// maxChanges bounds the changes in one frame.
const maxChanges = 256

// ChangesFrom asks one instance for the changes after a revision. The error
// has kind KindNotFound if the instance is not known, else KindNoUpstream or
// KindDeadlineExceeded.
func (e *Exchange) ChangesFrom(ctx context.Context, id savorystep.InstanceID, after savorystep.Revision, limit int) ([]savorystep.Change, error) {
	l, err := e.linkTo(ctx, id)
	if err != nil {
		return nil, err
	}
	answer := make(chan []savorystep.Change, 1)
	e.mu.Lock()
	e.requests++
	request := e.requests
	e.wants[request] = answer
	l.control = append(l.control, frame{Want: &wantFrame{Request: request, After: after, Limit: min(limit, maxChanges)}})
	l.signal()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.wants, request)
	}()
	select {
	case changes := <-answer:
		return changes, nil
	case <-l.end:
		return nil, savorystep.NewError(savorystep.KindNoUpstream, "connection to instance %s ended", id)
	case <-ctx.Done():
		return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, ctx.Err(), "changes from instance %s", id)
	}
}

// linkTo returns the link to an instance and opens one if there is none.
func (e *Exchange) linkTo(ctx context.Context, id savorystep.InstanceID) (*link, error) {
	e.mu.Lock()
	l, m := e.links[id], e.store.members[id]
	e.mu.Unlock()
	if l != nil {
		return l, nil
	}
	if m == nil {
		return nil, savorystep.NewError(savorystep.KindNotFound, "instance %s is not known", id)
	}
	if err := e.connect(ctx, id, m.status.Instance.PeerAddress); err != nil {
		return nil, savorystep.WrapError(savorystep.KindNoUpstream, err, "connect to instance %s", id)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if l = e.links[id]; l == nil {
		return nil, savorystep.NewError(savorystep.KindNoUpstream, "no connection to instance %s", id)
	}
	return l, nil
}

// answerWant answers a peer's want from the change source.
func (e *Exchange) answerWant(l *link, want *wantFrame) error {
	if want.Limit < 0 {
		return savorystep.NewError(savorystep.KindBadRequest, "want has limit %d", want.Limit)
	}
	e.mu.Lock()
	source := e.source
	l.heard = e.config.Clock.Now()
	e.mu.Unlock()
	var changes []savorystep.Change
	if source != nil {
		changes = source.Changes(want.After, min(want.Limit, maxChanges))
	}
	answer := frame{Change: &changeFrame{Request: want.Request, Changes: changes}}
	// The asking instance asks again for what does not fit into one frame.
	for len(changes) > 0 {
		if _, err := frames.Encode(answer); err == nil {
			break
		}
		changes = changes[:len(changes)/2]
		answer.Change.Changes = changes
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.control = append(l.control, answer)
	l.signal()
	return nil
}
