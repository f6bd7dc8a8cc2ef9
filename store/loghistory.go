package store

import (
	"context"

	"savorystep"
)

// maxHistoryScan bounds the changes that one call of History reads from the
// table.
const maxHistoryScan = 1 << 14

// History returns the last changes of a service, or of all services if it is
// empty, newest first and at most limit. It reads the changes that are not in
// memory from the table. The error has kind KindPlatformDown.
func (l *Log) History(ctx context.Context, service savorystep.Service, limit int) ([]savorystep.Change, error) {
	var history []savorystep.Change
	next := l.View().Revision // The newest revision that was not examined.
	add := func(change savorystep.Change) bool {
		next = change.Revision - 1
		if service == "" || change.Service == service {
			history = append(history, change)
		}
		return len(history) < limit && next > 0
	}
	if limit <= 0 || next == 0 {
		return nil, nil
	}
	recent := l.state.recentChanges(next)
	for i := len(recent) - 1; i >= 0; i-- {
		if !add(recent[i]) {
			return history, nil
		}
	}
	for scanned := 0; scanned < maxHistoryScan && next > 0; scanned += pageSize {
		after := next - min(next, pageSize)
		changes, err := l.scanChanges(ctx, after, next)
		if err != nil {
			return nil, err
		}
		changes = changes[:next-after]
		for i := len(changes) - 1; i >= 0; i-- {
			if !add(changes[i]) {
				return history, nil
			}
		}
	}
	return history, nil
}
