package peer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// brokerCount is the number of brokers of a group. The second one takes over
// when the first is left out.
const brokerCount = 2

// A group is a set of subjects of scoped facts, for example the endpoints of
// one service in one region. In a fleet too large to connect to all, the
// instances that state facts of a group send them to its brokers, and the
// first broker passes them on to the others that state facts of the group.
type group struct {
	brokers []savorystep.InstanceID
	// own is true if this instance states facts of the group.
	own bool
	// first is true if this instance is the first broker.
	first bool
}

// chooseBrokers returns the brokers of a group by rendezvous hashing.
func chooseBrokers(name string, members []savorystep.Member) []savorystep.InstanceID {
	type ranked struct {
		id    savorystep.InstanceID
		score uint64
	}
	var best [brokerCount]ranked
	for _, m := range members {
		r := ranked{id: m.Instance.ID, score: xxh3.HashString(name + "\x00" + string(m.Instance.ID))}
		for i := range best {
			if best[i].id == "" || r.score > best[i].score {
				best[i], r = r, best[i]
			}
		}
	}
	var brokers []savorystep.InstanceID
	for _, r := range best {
		if r.id != "" {
			brokers = append(brokers, r.id)
		}
	}
	return brokers
}

// groupOf returns the group of a scoped fact, which it makes if needed.
func (e *Exchange) groupOf(key factKey) (string, *group) {
	name := e.config.SubjectGroup(key.subject)
	g := e.groups[name]
	if g == nil {
		g = &group{}
		e.groups[name] = g
	}
	return name, g
}

// spreadScoped sends a new scoped fact to those that it interests.
func (e *Exchange) spreadScoped(entry *entry, from *link) {
	name, g := e.groupOf(entry.key)
	if from == nil {
		g.own = true
		for _, l := range e.links {
			if l.sharing[name] {
				l.add(entry.key)
			}
		}
		return
	}
	if entry.key.instance == from.peer.ID && !from.interests[name] {
		from.interests[name] = true
		if !e.isMesh() {
			e.sendGroup(from, name, false)
		}
	}
	if g.first && !e.isMesh() {
		for _, l := range e.links {
			if l != from && l.interests[name] && l.peer.ID != entry.key.instance {
				l.add(entry.key)
			}
		}
	}
}

// sendGroup puts the facts of a group among those to send on a link: the own
// ones, or all but the peer's.
func (e *Exchange) sendGroup(l *link, name string, own bool) {
	for kind, facts := range e.store.facts {
		if !isScoped(kind) {
			continue
		}
		for key := range facts {
			if key.instance == l.peer.ID || (own && key.instance != e.config.Self.ID) {
				continue
			}
			if e.config.SubjectGroup(key.subject) == name {
				l.add(key)
			}
		}
	}
}

// keepGroups brings the brokers of all groups up to date. It returns the
// brokers that this instance needs connections to.
func (e *Exchange) keepGroups(now time.Time) []savorystep.Instance {
	if len(e.groups) == 0 {
		return nil
	}
	mesh := e.isMesh()
	var members []savorystep.Member
	if !mesh {
		members = e.store.alive(now)
	}
	var needed []savorystep.Instance
	for name, g := range e.groups {
		if !mesh {
			g.brokers = chooseBrokers(name, members)
			e.keepFirst(name, g)
		}
		if !g.own {
			continue
		}
		for _, broker := range g.brokers {
			if m := e.store.members[broker]; !mesh && broker != e.config.Self.ID && m != nil {
				needed = append(needed, m.status.Instance)
			}
		}
		e.keepSharing(name, g, mesh)
	}
	return needed
}

// keepSharing sends the own facts of a group to the links that shall have them.
func (e *Exchange) keepSharing(name string, g *group, mesh bool) {
	for id, l := range e.links {
		target := mesh || slices.Contains(g.brokers, id) || l.interests[name]
		switch {
		case target && !l.sharing[name]:
			l.sharing[name] = true
			e.sendGroup(l, name, true)
		case !target:
			delete(l.sharing, name)
		}
	}
}

// keepFirst makes this instance pass on the facts of a group while it is the
// first broker.
func (e *Exchange) keepFirst(name string, g *group) {
	first := len(g.brokers) > 0 && g.brokers[0] == e.config.Self.ID
	if first && !g.first {
		for _, l := range e.links {
			if l.interests[name] {
				e.sendGroup(l, name, false)
			}
		}
	}
	g.first = first
}

// dropGroups forgets the groups of which no facts are left.
func (e *Exchange) dropGroups() {
	used := make(map[string]bool, len(e.groups))
	for kind, facts := range e.store.facts {
		if !isScoped(kind) {
			continue
		}
		for key := range facts {
			used[e.config.SubjectGroup(key.subject)] = true
		}
	}
	for name := range e.groups {
		if !used[name] {
			delete(e.groups, name)
		}
	}
}
