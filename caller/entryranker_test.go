package caller_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"savorystep"
	"savorystep/caller"
)

// newRanker returns a ranker of members that the test can change through the fake.
func newRanker(members ...savorystep.Member) (*caller.EntryRanker, *fakeMembers) {
	fake := &fakeMembers{members: members}
	return caller.NewEntryRanker(caller.EntryRankerConfig{Members: fake, RefreshInterval: time.Second}), fake
}

// TestEntryRankerExclusion guards against lookup responses with entries that are leaving,
// not ready, or suspect their own network link. TestEntryRankerRevisions covers entries
// with an old revision.
func TestEntryRankerExclusion(t *testing.T) {
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
			ranker, fake := newRanker(members...)
			before := ranker.Entries("status", "natal", 10, 0, now)
			if len(before) != 2 {
				t.Fatalf("entries = %v, want 2", before)
			}
			owner := before[0].ID
			for i := range fake.members {
				if fake.members[i].Instance.ID == owner {
					c.change(&fake.members[i])
				}
			}
			after := ranker.Entries("status", "natal", 10, 0, now.Add(2*time.Second))
			if len(after) != 1 || after[0].ID == owner {
				t.Errorf("entries = %v, want all but %s", after, owner)
			}
		})
	}
}

// TestEntryRankerRevisions guards against sending all callers to the first entry that has
// applied a configuration change, and against sending callers to an entry that has not
// applied it within the grace period of 5 s.
func TestEntryRankerRevisions(t *testing.T) {
	start := time.Unix(100, 0)
	members := []savorystep.Member{newMember("a", "natal", 7), newMember("b", "natal", 7), newMember("c", "natal", 7)}
	ranker, fake := newRanker(members...)
	steps := []struct {
		name   string
		after  time.Duration
		change func()
		want   int
	}{
		{name: "all have the same revision", want: 3},
		{name: "one has a newer revision", after: 10 * time.Second, change: func() { fake.members[0].Revision = 8 }, want: 3},
		{name: "1 s before the end of the grace period", after: 14 * time.Second, change: func() { fake.members[1].Revision = 8 }, want: 3},
		{name: "grace period exceeded by one", after: 16 * time.Second, want: 2},
		{name: "all have the newer revision", after: 18 * time.Second, change: func() { fake.members[2].Revision = 8 }, want: 3},
	}
	for _, step := range steps {
		if step.change != nil {
			step.change()
		}
		if got := len(ranker.Entries("status", "natal", 10, 0, start.Add(step.after))); got != step.want {
			t.Errorf("%s: %d entries, want %d", step.name, got, step.want)
		}
	}
}

// TestEntryRankerLastEntry guards against an empty list of entries when every entry
// suspects its own network link.
func TestEntryRankerLastEntry(t *testing.T) {
	member := newMember("a", "natal", 7)
	member.LinkSuspect = true
	ranker, _ := newRanker(member)
	if entries := ranker.Entries("status", "natal", 10, 0, time.Unix(100, 0)); len(entries) != 1 {
		t.Errorf("entries = %v, want the only one", entries)
	}
}

// TestEntryRankerMinimalDisruption guards against services that move to another owner
// when an unrelated entry leaves. Each move makes the owner's count of requests in
// flight inexact.
func TestEntryRankerMinimalDisruption(t *testing.T) {
	now := time.Unix(100, 0)
	var members []savorystep.Member
	for i := range 12 {
		members = append(members, newMember(fmt.Sprintf("e%02d", i), "natal", 1))
	}
	ranker, fake := newRanker(members...)
	owners := make(map[savorystep.Service]savorystep.InstanceID)
	for i := range 200 {
		service := savorystep.Service(fmt.Sprintf("s%d", i))
		owners[service] = ranker.Entries(service, "natal", 10, 0, now)[0].ID
	}
	removed := members[3].Instance.ID
	fake.members = slices.Delete(slices.Clone(members), 3, 4)
	moved := 0
	for service, owner := range owners {
		after := ranker.Entries(service, "natal", 10, 0, now.Add(2*time.Second))[0].ID
		if after != owner {
			moved++
			if owner != removed {
				t.Errorf("service %s moved from %s to %s, but the entry that left is %s", service, owner, after, removed)
			}
		}
	}
	if moved == 0 {
		t.Error("no service moved from the entry that left")
	}
}

// TestEntryRankerSeveralOwners guards against a single owner for a service that has more
// slots than slotsPerOwner, and against an uneven split of the blocks among its owners.
func TestEntryRankerSeveralOwners(t *testing.T) {
	now := time.Unix(100, 0)
	var members []savorystep.Member
	for i := range 12 {
		members = append(members, newMember(fmt.Sprintf("e%02d", i), "natal", 1))
	}
	ranker, _ := newRanker(members...)
	first := make(map[savorystep.InstanceID]int)
	for block := range 3000 {
		entries := ranker.Entries("status", "natal", 1000, savorystep.BlockID(block), now)
		first[entries[0].ID]++
	}
	if len(first) != 4 {
		t.Fatalf("%d owners, want 4", len(first))
	}
	for id, count := range first {
		if count != 750 {
			t.Errorf("owner %s is first for %d blocks, want 750", id, count)
		}
		if !ranker.IsOwner(id, "status", "natal", 1000, now) {
			t.Errorf("IsOwner(%s) = false, want true", id)
		}
	}
}
