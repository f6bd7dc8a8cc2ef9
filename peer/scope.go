package peer

import (
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	"savorystep"
)

// brokerCount is the number of brokers of a group. The second one takes over
// when the first is lost.
const brokerCount = 2

// A group is a set of subjects of scoped facts, for example the endpoints of
// one service in one region. In a fleet too large for a full mesh, the
// instances that publish facts of a group send them to its brokers, and the
// first broker forwards them to the other publishers.
type group struct {
	brokers []savorystep.InstanceID
	// isPublisher is true if this instance publishes facts of the group.
	isPublisher bool
	// isFirstBroker is true if this instance is the first broker of the group.
	isFirstBroker bool
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

// groupOf returns the group of a scoped fact and its name. It creates the group
// if needed.
func (e *Exchange) groupOf(key factKey) (string, *group) {
	name := e.config.SubjectGroup(key.subject)
	g := e.groups[name]
	if g == nil {
		g = &group{}
		e.groups[name] = g
	}
	return name, g
}

// disseminateScoped queues a new scoped fact for the peers to which it is
// relevant.
func (e *Exchange) disseminateScoped(entry *entry, from *link) {
	name, g := e.groupOf(entry.key)
	if from == nil {
		g.isPublisher = true
		for _, l := range e.links {
			if l.sharedGroups[name] {
				l.enqueue(entry.key)
			}
		}
		return
	}
	e.markPublisher(from, entry.key)
	if g.isFirstBroker && !e.isFullMesh() {
		for _, l := range e.links {
			if l != from && l.peerGroups[name] && l.peer.ID != entry.key.instance {
				l.enqueue(entry.key)
			}
		}
	}
}

// markPublisher records that the peer of a link publishes to the group of a scoped fact
// if the fact is its own, and queues the group's facts for it. The fact may be known
// already, from another peer or from a link that this one replaced.
func (e *Exchange) markPublisher(from *link, key factKey) {
	name, _ := e.groupOf(key)
	if key.instance != from.peer.ID || from.peerGroups[name] {
		return
	}
	from.peerGroups[name] = true
	if !e.isFullMesh() {
		e.enqueueGroup(from, name, false)
	}
}

// enqueueGroup queues the facts of a group on a link: the local ones, or all
// but the peer's.
func (e *Exchange) enqueueGroup(l *link, name string, localOnly bool) {
	for kind, facts := range e.store.facts {
		if !isScoped(kind) {
			continue
		}
		for key := range facts {
			if key.instance == l.peer.ID || (localOnly && key.instance != e.config.Self.ID) {
				continue
			}
			if e.config.SubjectGroup(key.subject) == name {
				l.enqueue(key)
			}
		}
	}
}

// updateGroups updates the brokers of all groups. It returns the brokers that
// this instance needs connections to.
func (e *Exchange) updateGroups(now time.Time) []savorystep.Instance {
	if len(e.groups) == 0 {
		return nil
	}
	isFullMesh := e.isFullMesh()
	var members []savorystep.Member
	if !isFullMesh {
		members = e.store.liveMembers(now)
	}
	var needed []savorystep.Instance
	for name, g := range e.groups {
		if !isFullMesh {
			g.brokers = chooseBrokers(name, members)
			e.updateFirstBroker(name, g)
		}
		if !g.isPublisher {
			continue
		}
		for _, broker := range g.brokers {
			if m := e.store.members[broker]; !isFullMesh && broker != e.config.Self.ID && m != nil {
				needed = append(needed, m.status.Instance)
			}
		}
		e.updateSharing(name, g, isFullMesh)
	}
	return needed
}

// updateSharing queues the local facts of a group on the links that newly need
// them: in a full mesh all links, else those to brokers and to publishers of
// the group.
func (e *Exchange) updateSharing(name string, g *group, isFullMesh bool) {
	for id, l := range e.links {
		isTarget := isFullMesh || slices.Contains(g.brokers, id) || l.peerGroups[name]
		switch {
		case isTarget && !l.sharedGroups[name]:
			l.sharedGroups[name] = true
			e.enqueueGroup(l, name, true)
		case !isTarget:
			delete(l.sharedGroups, name)
		}
	}
}

// updateFirstBroker updates whether this instance is the first broker of a
// group. When it becomes the first broker, it sends the facts of the group to
// the connected publishers.
func (e *Exchange) updateFirstBroker(name string, g *group) {
	isFirst := len(g.brokers) > 0 && g.brokers[0] == e.config.Self.ID
	if isFirst && !g.isFirstBroker {
		for _, l := range e.links {
			if l.peerGroups[name] {
				e.enqueueGroup(l, name, false)
			}
		}
	}
	g.isFirstBroker = isFirst
}

// dropUnusedGroups removes the groups without facts.
func (e *Exchange) dropUnusedGroups() {
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
