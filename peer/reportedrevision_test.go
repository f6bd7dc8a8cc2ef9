package peer

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"savorystep"
)

// greatestRevision returns the greatest revision at the members and in reports.
func greatestRevision(e *Exchange, now time.Time) savorystep.Revision {
	members, revision := e.MembersAndReported(now)
	for _, m := range members {
		revision = max(revision, m.Revision)
	}
	return revision
}

// TestReportedRevisionBeforeStatus guards against the loss of a revision that a peer
// reports next to another member's status and before the status of the instance that has
// it in force, which a starting instance would then become ready without.
func TestReportedRevisionBeforeStatus(t *testing.T) {
	tests := []struct {
		name string
		// facts is the frame with the status of the other member.
		facts factsFrame
		// closes makes the peer close the connection after the frame.
		closes bool
	}{
		{name: "of the peer", facts: factsFrame{Revision: 224}},
		{name: "of the peer, whose connection ends", facts: factsFrame{Revision: 224}, closes: true},
		{name: "of an instance that is not known", facts: factsFrame{Revision: 3, Vector: &revisionVector{Revision: 224, GroupCount: 1}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			e, url := startExchange(t, Config{Self: savorystep.Instance{ID: "self"}})
			p := dialRaw(t, url)
			p.hello("raw")
			body, err := statusCodec.Encode(savorystep.StatusFact{Instance: savorystep.Instance{ID: "other"}, Ready: true})
			if err != nil {
				t.Fatal(err)
			}
			facts := test.facts
			facts.Names, facts.AckID = []string{"other"}, 1
			facts.Facts = []wireFact{{Instance: 1, Sequence: 1, Kind: savorystep.FactStatus, Body: body}}
			p.send(frame{Facts: &facts})
			p.receive(func(f frame) bool { return f.Ack != nil })
			if test.closes {
				_ = p.conn.CloseNow()
				for e.Stats().Links > 0 {
					time.Sleep(time.Millisecond)
				}
			}
			members, reported := e.MembersAndReported(time.Now())
			for _, m := range members {
				if m.Revision != 0 {
					t.Errorf("member %s has revision %d, want 0", m.Instance.ID, m.Revision)
				}
			}
			if reported != 224 {
				t.Errorf("reported revision %d, want 224", reported)
			}
		})
	}
}

// TestRevisionOfCatchUpRequest guards against a starting instance that learns of a
// running one by its request for statuses, and takes the revision of the time at which
// that status was published for the one in force.
func TestRevisionOfCatchUpRequest(t *testing.T) {
	starting := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "starting"}})
	server := httptest.NewServer(starting.Handler())
	defer server.Close()
	address := savorystep.Address(strings.TrimPrefix(server.URL, "http://"))
	running := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "running"}, Seeds: []savorystep.Address{address}})
	running.Publish(savorystep.FactRevision, "", savorystep.RevisionFact{Revision: 224})
	if got, err := running.catchUp(t.Context()); got != 1 {
		t.Fatalf("%d new statuses, error %v, want that of the starting instance", got, err)
	}
	now := time.Now()
	if members := starting.Members(now); len(members) != 2 {
		t.Fatalf("members %+v, want both instances", members)
	}
	if got := greatestRevision(starting, now); got != 224 {
		t.Errorf("greatest revision %d, want 224", got)
	}
}

// TestReportedRevisionIsPassedOn guards against an instance that passes statuses on
// without the later revision that it only knows from a report.
func TestReportedRevisionIsPassedOn(t *testing.T) {
	for _, reporter := range []savorystep.InstanceID{"ahead", ""} {
		seed := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "seed"}})
		server := httptest.NewServer(seed.Handler())
		defer server.Close()
		address := savorystep.Address(strings.TrimPrefix(server.URL, "http://"))
		seed.recordRevision(time.Now(), memberRevision{revision: 224, instance: reporter})
		starting := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "starting"}, Seeds: []savorystep.Address{address}})
		if got, err := starting.catchUp(t.Context()); got != 1 {
			t.Fatalf("%d new statuses, error %v, want that of the seed", got, err)
		}
		if got := greatestRevision(starting, time.Now()); got != 224 {
			t.Errorf("greatest revision %d in the response, want 224, reported of %q", got, reporter)
		}
		if facts := (&link{exchange: seed}).nextGossip(time.Now()); facts == nil || facts.Vector == nil || facts.Vector.Revision != 224 {
			t.Errorf("first frame %+v, want a vector of revision 224, reported of %q", facts, reporter)
		}
	}
}

// TestCatchUpRevisionWithoutStatus guards against the loss of the revision that a response
// names for an instance whose status it does not contain.
func TestCatchUpRevisionWithoutStatus(t *testing.T) {
	seed := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "seed"}})
	server := httptest.NewServer(seed.Handler())
	defer server.Close()
	address := savorystep.Address(strings.TrimPrefix(server.URL, "http://"))
	now := time.Now()
	seed.store.merge(now, savorystep.Fact{Instance: "ahead", Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody("ahead", true)}, now)
	seed.store.revisions.raise(seed.store.members["ahead"], 224)
	starting := New(Config{Secret: "secret", Self: savorystep.Instance{ID: "starting"}, Seeds: []savorystep.Address{address}})
	// A known status with the same hash and a later sequence keeps it out of the response.
	hash := factKey{kind: savorystep.FactStatus, instance: "ahead"}.hash()
	starting.store.facts[savorystep.FactStatus][factKey{kind: savorystep.FactStatus, instance: "same hash"}] = &entry{hash: hash, sequence: 2}
	if got, err := starting.catchUp(t.Context()); got != 1 {
		t.Fatalf("%d new statuses, error %v, want that of the seed", got, err)
	}
	if got := greatestRevision(starting, time.Now()); got != 224 {
		t.Errorf("greatest revision %d, want 224", got)
	}
}

// TestForwardedReportExpires guards against two instances that keep the report of one that
// is gone from each other, and never become ready while the platform is down.
func TestForwardedReportExpires(t *testing.T) {
	instances := []*Exchange{New(Config{Self: savorystep.Instance{ID: "a"}}), New(Config{Self: savorystep.Instance{ID: "b"}})}
	now := time.Now()
	instances[0].recordRevision(now, memberRevision{revision: 224, instance: "gone"})
	for round := range 40 {
		from, to := instances[round%2], instances[(round+1)%2]
		to.recordForwardedRevision(now, from.latestMemberRevision(now))
		to.store.expire(now)
		now = now.Add(time.Second)
	}
	for _, e := range instances {
		if got := greatestRevision(e, now); got != 0 {
			t.Errorf("greatest revision %d at %s, want 0", got, e.Self().ID)
		}
	}
}

// TestReportedRevisionLifetime guards against a report that keeps an instance from
// becoming ready although the reported instance is gone, against one that is lost when the
// status arrives, and against one of an instance that has ended.
func TestReportedRevisionLifetime(t *testing.T) {
	e := New(Config{Self: savorystep.Instance{ID: "self"}})
	now := e.config.Clock.Now()
	e.recordRevision(now, memberRevision{revision: 224, instance: "late"})
	e.recordRevision(now, memberRevision{revision: 223, instance: "late"})
	if got := greatestRevision(e, now); got != 224 {
		t.Errorf("greatest revision %d after the report, want 224", got)
	}
	lifetime := e.config.PeerTimeout + refutationTimeout(0)
	if got := greatestRevision(e, now.Add(lifetime)); got != 0 {
		t.Errorf("greatest revision %d after %v, want 0", got, lifetime)
	}
	e.mergeStatuses(now, []catchUpStatus{{Instance: "late", Sequence: 1, Body: statusBody("late", true)}})
	if m := e.store.members["late"]; m == nil || m.revision != 224 || len(e.store.reported) != 0 {
		t.Errorf("member %+v and reports %v after the status, want revision 224 at the member", m, e.store.reported)
	}
	e.store.removeEnded(now, savorystep.Instance{ID: "ended"})
	e.recordRevision(now, memberRevision{revision: 300, instance: "ended"})
	if got := greatestRevision(e, now); got != 224 {
		t.Errorf("greatest revision %d with an ended instance, want 224", got)
	}
	e.recordRevision(now, memberRevision{revision: 301, instance: "silent"})
	e.store.expire(now.Add(lifetime))
	if len(e.store.reported) != 0 {
		t.Errorf("%d reports after their lifetime, want none", len(e.store.reported))
	}
}
