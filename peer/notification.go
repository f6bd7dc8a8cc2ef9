package peer

import (
	"context"

	"savorystep"
)

// A notification is a fact for the subscribers or, if link is not nil, an
// acknowledgement to send after the facts before it.
type notification struct {
	fact  savorystep.ReceivedFact
	link  *link
	ackID uint64
}

// notify queues a fact for the subscribers.
func (e *Exchange) notify(fact savorystep.ReceivedFact) {
	if len(e.subscribers[fact.Kind]) > 0 {
		e.queueNotification(notification{fact: fact})
	}
}

// acknowledge queues an acknowledgement of a peer's broadcast. It is sent once the
// subscribers know the fact, also if that came from another peer before.
func (e *Exchange) acknowledge(l *link, ackID uint64) {
	e.queueNotification(notification{link: l, ackID: ackID})
}

func (e *Exchange) queueNotification(n notification) {
	e.notifications = append(e.notifications, n)
	select {
	case e.notificationSignal <- struct{}{}:
	default:
	}
}

// runNotifications calls the subscribers with the queued facts and sends the queued
// acknowledgements, in order.
func (e *Exchange) runNotifications(ctx context.Context) error {
	for {
		select {
		case <-e.notificationSignal:
		case <-ctx.Done():
			return nil
		}
		e.mu.Lock()
		notifications := e.notifications
		e.notifications = nil
		e.mu.Unlock()
		for _, n := range notifications {
			e.handleNotification(n)
		}
	}
}

// handleNotification handles one notification.
func (e *Exchange) handleNotification(n notification) {
	e.mu.Lock()
	if n.link != nil {
		n.link.controlFrames = append(n.link.controlFrames, frame{Ack: &ackFrame{AckID: n.ackID}})
		n.link.wakeWriter()
		e.mu.Unlock()
		return
	}
	subscribers := e.subscribers[n.fact.Kind]
	e.mu.Unlock()
	for _, f := range subscribers {
		f(n.fact)
	}
}
