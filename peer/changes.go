package peer

import (
	"context"
	"errors"
	"time"

	"savorystep"
)

const (
	// maxChanges limits the changes in one frame.
	maxChanges = 256
	// maxChangesAttempts limits the links on which a request for changes is sent.
	maxChangesAttempts = 3
)

// errLinkEnded means that a link to a member ended or was not kept, as when two
// instances connect to each other at once.
var errLinkEnded = errors.New("connection ended")

// ChangesFrom fetches the changes after a revision from one instance, at most
// limit of them. It sends the request again if its link ends. The error has kind
// KindNotFound if the instance is not a member, otherwise KindNoUpstream or
// KindDeadlineExceeded.
func (e *Exchange) ChangesFrom(ctx context.Context, id savorystep.InstanceID, after savorystep.Revision, limit int) ([]savorystep.Change, error) {
	for attempt := 1; ; attempt++ {
		changes, err := e.requestChanges(ctx, id, after, limit)
		if !errors.Is(err, errLinkEnded) || attempt == maxChangesAttempts {
			return changes, err
		}
		select {
		case <-time.After(backoff(attempt - 1)):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// requestChanges sends one request for changes. The error wraps errLinkEnded if
// another link may yield them.
func (e *Exchange) requestChanges(ctx context.Context, id savorystep.InstanceID, after savorystep.Revision, limit int) ([]savorystep.Change, error) {
	l, err := e.ensureLink(ctx, id)
	if err != nil {
		return nil, err
	}
	response := make(chan []savorystep.Change, 1)
	e.mu.Lock()
	e.lastRequestID++
	requestID := e.lastRequestID
	e.pendingChangeRequests[requestID] = response
	l.controlFrames = append(l.controlFrames, frame{ChangesRequest: &changesRequestFrame{RequestID: requestID, After: after, Limit: min(limit, maxChanges)}})
	l.wakeWriter()
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.pendingChangeRequests, requestID)
	}()
	select {
	case changes := <-response:
		return changes, nil
	case <-l.closed:
		return nil, savorystep.WrapError(savorystep.KindNoUpstream, errLinkEnded, "fetch changes after revision %d from instance %s", after, id)
	case <-ctx.Done():
		return nil, savorystep.WrapError(savorystep.KindDeadlineExceeded, ctx.Err(), "fetch changes after revision %d from instance %s", after, id)
	}
}

// ensureLink returns the link to an instance. If there is none, it opens one.
func (e *Exchange) ensureLink(ctx context.Context, id savorystep.InstanceID) (*link, error) {
	l, m := e.openLink(id)
	if l != nil {
		return l, nil
	}
	if m == nil {
		return nil, savorystep.NewError(savorystep.KindNotFound, "instance %s is not a member", id)
	}
	err := e.connect(ctx, id, m.status.Instance.PeerAddress)
	// The peer may have refused the connection because its own one is kept.
	if l, _ = e.openLink(id); l != nil {
		return l, nil
	}
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNoUpstream, err, "connect to instance %s", id)
	}
	return nil, savorystep.WrapError(savorystep.KindNoUpstream, errLinkEnded, "new connection to instance %s was not kept", id)
}

// openLink returns the link to an instance, nil if there is none that is open, and
// its member, nil if it is none.
func (e *Exchange) openLink(id savorystep.InstanceID) (*link, *member) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m := e.store.members[id]
	if l := e.links[id]; l != nil && !l.isClosed {
		return l, m
	}
	return nil, m
}

// serveChanges answers a peer's request for changes from the change source.
func (e *Exchange) serveChanges(l *link, request *changesRequestFrame) error {
	if request.Limit < 0 {
		return savorystep.NewError(savorystep.KindBadRequest, "changes request has limit %d, want at least 0", request.Limit)
	}
	e.mu.Lock()
	source := e.changeSource
	l.receivedAt = e.config.Clock.Now()
	e.mu.Unlock()
	var changes []savorystep.Change
	if source != nil {
		changes = source.Changes(request.After, min(request.Limit, maxChanges))
	}
	response := frame{ChangesResponse: &changesResponseFrame{RequestID: request.RequestID, Changes: changes}}
	// The peer sends another request for the changes that do not fit into this
	// frame.
	for len(changes) > 0 {
		if _, err := frameCodec.Encode(response); err == nil {
			break
		}
		changes = changes[:len(changes)/2]
		response.ChangesResponse.Changes = changes
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.controlFrames = append(l.controlFrames, response)
	l.wakeWriter()
	return nil
}
