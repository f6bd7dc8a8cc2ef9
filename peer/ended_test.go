package peer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"savorystep"
)

// newBusyLink returns a link of an exchange that has used up its byte budget.
func newBusyLink(now time.Time) (*Exchange, *link) {
	e := New(Config{Clock: fixedClock(now), Secret: "secret of the test", Self: savorystep.Instance{ID: "self"}})
	e.byteBudget.spend(now, e.byteBudget.available(now))
	l := &link{exchange: e, peer: savorystep.Instance{ID: "other"}, pending: make(map[factKey]bool), sentNames: make(map[string]uint64), writeSignal: make(chan struct{}, 1)}
	e.links["other"] = l
	return e, l
}

// A fixedClock always returns the same time.
type fixedClock time.Time

func (c fixedClock) Now() time.Time { return time.Time(c) }

// TestEndingsPassUsedUpBudget guards against the news that endpoints have ended which
// waits until they run again, because the crashes of requests that they ran have used up
// the byte budget. Other urgent facts wait.
func TestEndingsPassUsedUpBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	e, l := newBusyLink(now)
	for i := range 10 {
		e.Publish(savorystep.FactCrash, fmt.Sprint("request-", i), savorystep.CrashFact{Streak: 1})
		e.Publish(savorystep.FactEnded, fmt.Sprint("endpoint-", i), savorystep.EndedFact{StartedAtMillis: 1, Number: 1})
	}
	facts := &factsFrame{}
	e.mu.Lock()
	defer e.mu.Unlock()
	l.addPendingFacts(now, facts, e.byteBudget.available(now))
	counts := make(map[savorystep.FactKind]int)
	for _, fact := range facts.Facts {
		counts[fact.Kind]++
	}
	if counts[savorystep.FactEnded] != 10 || len(counts) != 1 {
		t.Errorf("facts by kind %v, want 10 of kind %d only", counts, savorystep.FactEnded)
	}
}

// TestEndingsOfManyEndpointsAreNotDelayed guards against the news that endpoints have
// ended which waits for its budget, so that most instances send the endpoints as much as
// warm ones when they run again, because two fifths of a large service end at once and
// again a second later. More instances then find the same endings by themselves and use up
// the budget even earlier.
func TestEndingsOfManyEndpointsAreNotDelayed(t *testing.T) {
	const links, endings, own, rounds = 24, 102, 4, 3
	now := time.Unix(1000, 0)
	e, from := newBusyLink(now)
	for i := range links {
		id := savorystep.InstanceID(fmt.Sprint("instance-", i))
		e.links[id] = &link{exchange: e, peer: savorystep.Instance{ID: id}, pending: make(map[factKey]bool), sentNames: make(map[string]uint64), writeSignal: make(chan struct{}, 1)}
		// A fleet that is no full mesh.
		e.store.members[id] = &member{}
	}
	e.store.members["another"] = &member{}
	for round := range rounds {
		body := savorystep.EndedFact{StartedAtMillis: 1_791_317_950_729 + int64(round), Number: uint64(round + 1)} //nolint:gosec // It is not negative.
		encoded, err := endedCodec.Encode(body)
		if err != nil {
			t.Fatal(err)
		}
		for i := range own {
			e.Publish(savorystep.FactEnded, fmt.Sprintf("i-%010x", i), body)
		}
		e.mu.Lock()
		for i := own; i < endings; i++ {
			fact := savorystep.Fact{Instance: "finder", Sequence: uint64(round*endings + i), Kind: savorystep.FactEnded, Subject: fmt.Sprintf("i-%010x", i), Body: encoded} //nolint:gosec // It is not negative.
			e.disseminate(e.store.merge(now, fact, now), from)
		}
		queued, left := 0, 0
		for _, l := range e.links {
			queued += len(l.pending)
			for {
				facts := l.nextGossip(now)
				if facts == nil {
					break
				}
				if _, err := l.encodeFrame(now, frame{Facts: facts}); err != nil {
					t.Fatal(err)
				}
			}
			left += len(l.pending)
		}
		e.mu.Unlock()
		if want := 2*own*endingForwardCount + (endings-own)*endingForwardCount; queued != want {
			t.Fatalf("round %d: %d reports are queued, want %d", round, queued, want)
		}
		if left > 0 {
			t.Fatalf("round %d: %d of %d reports wait for the budget, want none", round, left, queued)
		}
		now = now.Add(time.Second)
		e.config.Clock = fixedClock(now)
	}
}

// TestEndingsReachNearlyAllInstances guards against single instances that are not told that
// an endpoint has ended until anti-entropy does, and meanwhile send it as much as a warm one.
// When two fifths of a large service end, all instances have to be told of nearly all of
// these endings.
func TestEndingsReachNearlyAllInstances(t *testing.T) {
	const instances, endings, rounds = 83, 102, 10
	random := rand.New(rand.NewPCG(1, 1)) //nolint:gosec // A run must be repeatable.
	neighbours := make([][]int, instances)
	for i := range neighbours {
		for _, other := range random.Perm(instances) {
			if len(neighbours[i]) >= (Config{MaxConnections: defaultMaxConnections}).neighbourCount() {
				break
			}
			if other != i && !slices.Contains(neighbours[i], other) {
				neighbours[i] = append(neighbours[i], other)
				neighbours[other] = append(neighbours[other], i)
			}
		}
	}
	count := forwardCountOf(savorystep.FactEnded)
	untold := 0
	for range rounds * endings {
		finder := random.IntN(instances)
		told := map[int]bool{finder: true}
		for queue, copies := []int{finder}, 2*count; len(queue) > 0; queue, copies = queue[1:], count {
			links := slices.Clone(neighbours[queue[0]])
			random.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })
			for _, next := range links[:min(copies, len(links))] {
				if !told[next] {
					told[next] = true
					queue = append(queue, next)
				}
			}
		}
		untold += instances - len(told)
	}
	if untold > rounds {
		t.Errorf("%d reports did not arrive in %d rounds of %d endings at %d instances, want at most one in a round", untold, rounds, endings, instances)
	}
}

// TestRepeatedEndingIsNotForwarded guards against reports of several instances that the
// same endpoint has ended, each of which is forwarded to all instances.
func TestRepeatedEndingIsNotForwarded(t *testing.T) {
	now := time.Unix(1000, 0)
	e, l := newBusyLink(now)
	from := &link{exchange: e, peer: savorystep.Instance{ID: "third"}, pending: make(map[factKey]bool)}
	e.links["third"] = from
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, finder := range []savorystep.InstanceID{"third", "fourth", "fifth"} {
		fact := savorystep.Fact{Instance: finder, Sequence: 1, Kind: savorystep.FactEnded, Subject: "endpoint", Body: []byte{0xa1, 1, 5}}
		e.disseminate(e.store.merge(now, fact, now), from)
	}
	if got := len(l.pending); got != 1 {
		t.Errorf("%d reports are forwarded, want 1", got)
	}
	clear(l.pending)
	later := savorystep.Fact{Instance: "third", Sequence: 2, Kind: savorystep.FactEnded, Subject: "endpoint", Body: []byte{0xa1, 1, 6}}
	e.disseminate(e.store.merge(now, later, now), from)
	if got := len(l.pending); got != 1 {
		t.Errorf("%d reports of a later incarnation are forwarded, want 1", got)
	}
}

// TestMissingEndingPassesUsedUpBudget guards against endings that an instance did not get
// while it stood still or was cut off, and that wait for the byte budget afterwards.
func TestMissingEndingPassesUsedUpBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	e, l := newBusyLink(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	ended := e.store.merge(now, savorystep.Fact{Instance: "third", Sequence: 1, Kind: savorystep.FactEnded, Subject: "endpoint", Body: []byte{0xa1, 1, 5}}, now)
	crash := e.store.merge(now, savorystep.Fact{Instance: "third", Sequence: 2, Kind: savorystep.FactCrash, Subject: "request", Body: []byte{0xa1, 1, 5}}, now)
	l.pending[ended.key], l.pending[crash.key] = true, false
	l.gossipDue, l.urgentPending = true, true
	facts := &factsFrame{}
	l.addPendingFacts(now, facts, e.byteBudget.available(now))
	if len(facts.Facts) != 1 || facts.Facts[0].Kind != savorystep.FactEnded {
		t.Errorf("facts %v, want the report of the ending", facts.Facts)
	}
}

// TestNewLinkGetsEndings guards against an instance that starts and sends requests to
// endpoints that others found to have ended, until anti-entropy has told it.
func TestNewLinkGetsEndings(t *testing.T) {
	now := time.Unix(1000, 0)
	e, _ := newBusyLink(now)
	e.tasks = &errgroup.Group{}
	e.store.merge(now, savorystep.Fact{Instance: "third", Sequence: 1, Kind: savorystep.FactEnded, Subject: "endpoint", Body: []byte{0xa1, 1, 5}}, now)
	started := e.newLink(nil, savorystep.Instance{ID: "started"}, false)
	if !e.registerLink(started, 0) {
		t.Fatal("the link was not kept")
	}
	facts := &factsFrame{}
	e.mu.Lock()
	defer e.mu.Unlock()
	started.addPendingFacts(now, facts, e.byteBudget.available(now))
	if len(facts.Facts) != 1 || facts.Facts[0].Kind != savorystep.FactEnded {
		t.Errorf("facts %v, want the report of the ending", facts.Facts)
	}
}
