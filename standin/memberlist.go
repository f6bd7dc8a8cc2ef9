package standin

import (
	"errors"
	"sort"
	"sync"
	"time"

	"savorystep"
)

// errMemberEnded rejects a registration of a member that is already listed as
// ended.
var errMemberEnded = errors.New("member is already listed as ended")

// endedRetention is the time for which ended members stay in the list.
const endedRetention = time.Hour

// A memberList is a list of registered instances or endpoints. It is listed with
// a lag, as the platform's lists are.
type memberList[T any] struct {
	mu      sync.Mutex
	members map[string]*listedMember[T]
	// frozenList is returned while isFrozen is true.
	frozenList []T
	isFrozen   bool
}

// A listedMember is a member with the history of its states.
type listedMember[T any] struct {
	// states are in the order of their start times.
	states []memberState[T]
	// registrations is the number of open registrations.
	registrations int
}

// A memberState is the state of a member and its list entry since a time.
type memberState[T any] struct {
	since time.Time
	state savorystep.State
	value T
}

func newMemberList[T any]() *memberList[T] {
	return &memberList[T]{members: make(map[string]*listedMember[T])}
}

// register adds a registration of a member. If the member ended but the list
// doesn't show the end yet, because it lags, the end is undone. A member that is
// already listed as ended can't register again: the result is errMemberEnded.
func (l *memberList[T]) register(now time.Time, lag time.Duration, id string, state savorystep.State, value T) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[id]
	if m == nil {
		m = &listedMember[T]{}
		l.members[id] = m
	}
	if n := len(m.states); n > 0 && m.states[n-1].state == savorystep.StateEnded {
		if !m.states[n-1].since.After(now.Add(-lag)) {
			return errMemberEnded
		}
		m.states = m.states[:n-1]
	}
	m.registrations++
	m.states = append(m.states, memberState[T]{since: now, state: state, value: value})
	return nil
}

// unregister ends a registration. When a member has none left, it is ended and has
// the list entry ended from then on.
func (l *memberList[T]) unregister(now time.Time, id string, ended T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[id]
	m.registrations--
	if m.registrations == 0 {
		m.states = append(m.states, memberState[T]{since: now, state: savorystep.StateEnded, value: ended})
	}
}

// setFrozen freezes the list as it is listed now, or ends the freeze.
func (l *memberList[T]) setFrozen(now time.Time, lag time.Duration, freeze bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if freeze && !l.isFrozen {
		l.frozenList = l.membersAt(now.Add(-lag))
	}
	l.isFrozen = freeze
}

// list returns the members in the order of their IDs, as they were at the time
// now minus lag.
func (l *memberList[T]) list(now time.Time, lag time.Duration) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.isFrozen {
		return l.frozenList
	}
	return l.membersAt(now.Add(-lag))
}

// membersAt returns the members as they were at a time, and removes those that
// ended more than endedRetention before it. The caller holds mu.
func (l *memberList[T]) membersAt(t time.Time) []T {
	ids := make([]string, 0, len(l.members))
	for id, m := range l.members {
		last := m.states[len(m.states)-1]
		if last.state == savorystep.StateEnded && last.since.Before(t.Add(-endedRetention)) {
			delete(l.members, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	values := []T{}
	for _, id := range ids {
		states := l.members[id].states
		i := sort.Search(len(states), func(i int) bool { return states[i].since.After(t) })
		if i > 0 {
			values = append(values, states[i-1].value)
		}
	}
	return values
}
