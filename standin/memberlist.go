package standin

import (
	"errors"
	"sort"
	"sync"
	"time"

	"savorystep"
)

// errMemberEnded refuses a registration of a member that is listed as ended.
var errMemberEnded = errors.New("the member is listed as ended")

// keepEnded is how long ended members stay listed.
const keepEnded = time.Hour

// A memberList is a lagging list of members that hold their registrations.
type memberList[T any] struct {
	mu      sync.Mutex
	members map[string]*listedMember[T]
	frozen  []T
	freeze  bool
}

// A listedMember is a member with the changes of its state.
type listedMember[T any] struct {
	// states are in the order of their times.
	states []memberState[T]
	// holders counts the open registrations.
	holders int
}

// A memberState is the form of a member from a time on.
type memberState[T any] struct {
	from  time.Time
	state savorystep.State
	value T
}

func newMemberList[T any]() *memberList[T] {
	return &memberList[T]{members: make(map[string]*listedMember[T])}
}

// hold adds a registration. A member that came back before the list showed its
// end was never ended; one that is shown as ended stays so.
func (l *memberList[T]) hold(now time.Time, lag time.Duration, id string, state savorystep.State, value T) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[id]
	if m == nil {
		m = &listedMember[T]{}
		l.members[id] = m
	}
	if n := len(m.states); n > 0 && m.states[n-1].state == savorystep.StateEnded {
		if !m.states[n-1].from.After(now.Add(-lag)) {
			return errMemberEnded
		}
		m.states = m.states[:n-1]
	}
	m.holders++
	m.states = append(m.states, memberState[T]{from: now, state: state, value: value})
	return nil
}

// release ends a registration. The end of the last one ends the member.
func (l *memberList[T]) release(now time.Time, id string, ended T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.members[id]
	m.holders--
	if m.holders == 0 {
		m.states = append(m.states, memberState[T]{from: now, state: savorystep.StateEnded, value: ended})
	}
}

// setFrozen freezes the list as it is listed now, or lets it go on.
func (l *memberList[T]) setFrozen(now time.Time, lag time.Duration, freeze bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if freeze && !l.freeze {
		l.frozen = l.at(now.Add(-lag))
	}
	l.freeze = freeze
}

// list returns the members in order of their IDs as they were a lag ago.
func (l *memberList[T]) list(now time.Time, lag time.Duration) []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freeze {
		return l.frozen
	}
	return l.at(now.Add(-lag))
}

// at returns the members as they were at a time and forgets those that ended
// long before it.
func (l *memberList[T]) at(at time.Time) []T {
	ids := make([]string, 0, len(l.members))
	for id, m := range l.members {
		last := m.states[len(m.states)-1]
		if last.state == savorystep.StateEnded && last.from.Before(at.Add(-keepEnded)) {
			delete(l.members, id)
			continue
		}
		ids = append(ids, id)
	}
	sort.Strings(ids)
	values := []T{}
	for _, id := range ids {
		states := l.members[id].states
		i := sort.Search(len(states), func(i int) bool { return states[i].from.After(at) })
		if i > 0 {
			values = append(values, states[i-1].value)
		}
	}
	return values
}
