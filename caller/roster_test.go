package caller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"savorystep"
	"savorystep/caller"
)

// newRoster returns a roster over members that a test may change.
func newRoster(members ...savorystep.Member) (*caller.Roster, *fakeMembers) {
	fake := &fakeMembers{members: members}
	return caller.NewRoster(caller.RosterConfig{Members: fake, Refresh: time.Second}), fake
}

// TestRosterLeavesOut guards against callers that are sent to entries that are
// leaving, not ready, behind in revision or cut off.
func TestRosterLeavesOut(t *testing.T) {
	cases := []struct {
		name   string
		change func(*savorystep.Member)
	}{
		{name: "leaving", change: func(m *savorystep.Member) { m.Leaving = true }},
		{name: "not ready", change: func(m *savorystep.Member) { m.Ready = false }},
		{name: "suspect", change: func(m *savorystep.Member) { m.LinkSuspect = true }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(100, 0)
			members := []savorystep.Member{newMember("a", "natal", 7), newMember("b", "natal", 7)}
			roster, fake := newRoster(members...)
			before := roster.Entries("status", "natal", 10, 0, now)
			if len(before) != 2 {
				t.Fatalf("entries = %v", before)
			}
			owner := before[0].ID
			for i := range fake.members {
				if fake.members[i].Instance.ID == owner {
					c.change(&fake.members[i])
				}
			}
			after := roster.Entries("status", "natal", 10, 0, now.Add(2*time.Second))
			if len(after) != 1 || after[0].ID == owner {
				t.Errorf("entries = %v, want all but %s", after, owner)
			}
		})
	}
}

// TestRosterRevisions guards against callers that are all sent to the first
// entry that has a change in force, and against callers that are still sent to
// an entry that did not get the change in time.
func TestRosterRevisions(t *testing.T) {
	start := time.Unix(100, 0)
	members := []savorystep.Member{newMember("a", "natal", 7), newMember("b", "natal", 7), newMember("c", "natal", 7)}
	roster, fake := newRoster(members...)
	steps := []struct {
		name   string
		after  time.Duration
		change func()
		want   int
	}{
		{name: "same revision", want: 3},
		{name: "one is ahead", after: 10 * time.Second, change: func() { fake.members[0].Revision = 8 }, want: 3},
		{name: "just before the grace is over", after: 14 * time.Second, change: func() { fake.members[1].Revision = 8 }, want: 3},
		{name: "one stayed behind", after: 16 * time.Second, want: 2},
		{name: "it caught up", after: 18 * time.Second, change: func() { fake.members[2].Revision = 8 }, want: 3},
	}
	for _, step := range steps {
		if step.change != nil {
			step.change()
		}
		if got := len(roster.Entries("status", "natal", 10, 0, start.Add(step.after))); got != step.want {
			t.Errorf("%s: %d entries, want %d", step.name, got, step.want)
		}
	}
}

// TestRosterKeepsLast guards against an empty answer when every entry is in
// doubt.
func TestRosterKeepsLast(t *testing.T) {
	member := newMember("a", "natal", 7)
	member.LinkSuspect = true
	roster, _ := newRoster(member)
	if entries := roster.Entries("status", "natal", 10, 0, time.Unix(100, 0)); len(entries) != 1 {
		t.Errorf("entries = %v, want the only one", entries)
	}
}

// TestRosterMinimalMove guards against ownership that moves when an unrelated
// entry leaves, which would spoil exact in-flight counts.
func TestRosterMinimalMove(t *testing.T) {
	now := time.Unix(100, 0)
	var members []savorystep.Member
	for i := range 12 {
		members = append(members, newMember(fmt.Sprintf("e%02d", i), "natal", 1))
	}
	roster, fake := newRoster(members...)
	owners := make(map[savorystep.Service]savorystep.InstanceID)
	for i := range 200 {
		service := savorystep.Service(fmt.Sprintf("s%d", i))
		owners[service] = roster.Entries(service, "natal", 10, 0, now)[0].ID
	}
	gone := members[3].Instance.ID
	fake.members = slices.Delete(slices.Clone(members), 3, 4)
	moved := 0
	for service, owner := range owners {
		after := roster.Entries(service, "natal", 10, 0, now.Add(2*time.Second))[0].ID
		if after != owner {
			moved++
			if owner != gone {
				t.Errorf("%s moved from %s to %s though %s left", service, owner, after, gone)
			}
		}
	}
	if moved == 0 {
		t.Error("nothing moved from the entry that left")
	}
}

// TestRosterOwnersGrow guards against one owner for a service that is too large
// for it.
func TestRosterOwnersGrow(t *testing.T) {
	now := time.Unix(100, 0)
	var members []savorystep.Member
	for i := range 12 {
		members = append(members, newMember(fmt.Sprintf("e%02d", i), "natal", 1))
	}
	roster, _ := newRoster(members...)
	first := make(map[savorystep.InstanceID]int)
	for block := range 3000 {
		entries := roster.Entries("status", "natal", 1000, savorystep.BlockID(block), now)
		first[entries[0].ID]++
	}
	if len(first) != 4 {
		t.Fatalf("%d owners, want 4", len(first))
	}
	for id, count := range first {
		if count != 750 {
			t.Errorf("owner %s has %d blocks, want 750", id, count)
		}
		if !roster.IsOwner(id, "status", "natal", 1000, now) {
			t.Errorf("%s is not known as an owner", id)
		}
	}
}
