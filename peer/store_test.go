package peer

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"savorystep"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func statusBody(id savorystep.InstanceID, ready bool) []byte {
	body, err := statusCodec.Encode(savorystep.StatusFact{
		Instance: savorystep.Instance{ID: id, PeerAddress: savorystep.Address(id + ":1")}, Ready: ready,
	})
	if err != nil {
		panic(err)
	}
	return body
}

func suspicionBody(sequence uint64) []byte {
	body, err := suspicionCodec.Encode(suspicionFact{Sequence: sequence})
	if err != nil {
		panic(err)
	}
	return body
}

// A script is a store that is driven by a test file.
type script struct {
	*store
	now time.Time
}

// TestStore runs the files about merging, expiry and membership.
func TestStore(t *testing.T) {
	datadriven.Walk(t, "testdata/store", func(t *testing.T, path string) {
		t.Helper()
		s := &script{store: newStore("self", 1500*time.Millisecond), now: epoch}
		datadriven.RunTest(t, path, s.run)
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	t.Helper()
	var id, subject string
	var sequence, count uint64
	var age int
	d.MaybeScanArgs(t, "id", &id)
	d.MaybeScanArgs(t, "subject", &subject)
	d.MaybeScanArgs(t, "seq", &sequence)
	d.MaybeScanArgs(t, "count", &count)
	d.MaybeScanArgs(t, "age", &age)
	fact := savorystep.Fact{Instance: savorystep.InstanceID(id), Sequence: sequence, Subject: subject}
	switch d.Cmd {
	case "wait":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		if err != nil {
			t.Fatal(err)
		}
		s.now = s.now.Add(wait)
		s.expire(s.now)
		return ""
	case "status":
		fact.Kind, fact.Body = savorystep.FactStatus, statusBody(fact.Instance, true)
	case "crash":
		fact.Kind = savorystep.FactCrash
	case "unknown":
		fact.Kind = savorystep.FactUnknown
	case "inflight":
		fact.Kind = savorystep.FactInFlight
		fact.Body, _ = inFlightCodec.Encode(savorystep.InFlightFact{Count: savorystep.Slots(count)})
	case "suspect":
		fact.Kind, fact.Body = factSuspicion, suspicionBody(count)
	case "ended":
		s.removeEnded(s.now, savorystep.Instance{ID: fact.Instance})
		return ""
	case "flood":
		for i := range count {
			name := strconv.FormatUint(i, 10)
			s.merge(s.now, savorystep.Fact{Instance: fact.Instance, Sequence: i + 1, Kind: savorystep.FactUnknown, Subject: name}, s.now)
		}
		return fmt.Sprintf("%d kept\n", len(s.facts[savorystep.FactUnknown]))
	case "show":
		return show(s.store, s.now)
	default:
		t.Fatalf("unknown command %s", d.Cmd)
	}
	if s.merge(s.now, fact, s.now.Add(-time.Duration(age)*time.Second)) == nil {
		return "rejected\n"
	}
	return "stored\n"
}

// show prints the live members and the facts.
func show(s *store, now time.Time) string {
	var b strings.Builder
	members := s.liveMembers(now)
	ids := make([]string, 0, len(members))
	for _, m := range members {
		ids = append(ids, string(m.Instance.ID))
	}
	fmt.Fprintf(&b, "members: %s\n", strings.Join(ids, " "))
	for _, kind := range slices.Sorted(maps.Keys(s.facts)) {
		for _, fact := range s.list(kind) {
			fmt.Fprintf(&b, "%d %s %q seq %d\n", kind, fact.Instance, fact.Subject, fact.Sequence)
		}
	}
	return b.String()
}

// TestStoreOrder guards against a store whose result depends on the order in
// which facts arrive or on their repetition.
func TestStoreOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []savorystep.InstanceID{"a", "b", "c"}
		makeFact := rapid.Custom(func(t *rapid.T) savorystep.Fact {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			sequence := rapid.Uint64Range(1, 6).Draw(t, "sequence")
			fact := savorystep.Fact{Instance: id, Sequence: sequence}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				// The body is a function of the sequence, since an instance
				// uses each sequence for one fact.
				fact.Kind, fact.Body = savorystep.FactStatus, statusBody(id, sequence%2 == 0)
			case 1:
				fact.Kind, fact.Subject = factSuspicion, string(ids[sequence%3])
				fact.Body = suspicionBody(sequence / 2)
			case 2:
				fact.Kind, fact.Subject = savorystep.FactCrash, strconv.FormatUint(sequence%2, 10)
			default:
				fact.Kind, fact.Subject = savorystep.FactInFlight, strconv.FormatUint(sequence%2, 10)
				fact.Body, _ = inFlightCodec.Encode(savorystep.InFlightFact{Count: savorystep.Slots(sequence)})
			}
			return fact
		})
		facts := rapid.SliceOfN(makeFact, 1, 30).Draw(t, "facts")
		permuted := slices.Concat(facts, rapid.SliceOfN(rapid.SampledFrom(facts), 0, 10).Draw(t, "again"))
		permuted = rapid.Permutation(permuted).Draw(t, "order")
		one, two := newStore("self", time.Second), newStore("self", time.Second)
		for _, fact := range facts {
			one.merge(epoch, fact, epoch)
		}
		for _, fact := range permuted {
			two.merge(epoch, fact, epoch)
		}
		later := epoch.Add(time.Minute)
		if a, b := show(one, later), show(two, later); a != b {
			t.Fatalf("states differ:\n%s\n%s", a, b)
		}
		if one.digest != two.digest {
			t.Fatal("digests differ")
		}
	})
}

// TestStoreAgeGrows guards against a fact that circulates forever between
// instances that drop it at different times.
func TestStoreAgeGrows(t *testing.T) {
	a, b := newStore("a", time.Second), newStore("b", time.Second)
	now := epoch
	fact := savorystep.Fact{Instance: "c", Sequence: 1, Kind: savorystep.FactCrash, Subject: "x"}
	a.merge(now, fact, now)
	a.merge(now, savorystep.Fact{Instance: "c", Sequence: 2, Kind: savorystep.FactStatus, Body: statusBody("c", true)}, now)
	b.merge(now, savorystep.Fact{Instance: "c", Sequence: 2, Kind: savorystep.FactStatus, Body: statusBody("c", true)}, now)
	from, to := a, b
	for range 10 * int(crashRetention/time.Second) {
		now = now.Add(900 * time.Millisecond)
		for key, e := range from.facts[savorystep.FactCrash] {
			to.merge(now, fact, now.Add(-time.Duration(e.ageSeconds(now))*time.Second))
			from.remove(from.get(key))
		}
		from.expire(now)
		to.expire(now)
		from, to = to, from
	}
	if len(a.facts[savorystep.FactCrash])+len(b.facts[savorystep.FactCrash]) != 0 {
		t.Error("crash fact is kept beyond its maximum age")
	}
}

// TestRevisionVector guards against bits that are assigned to the wrong
// instances.
func TestRevisionVector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 200).Draw(t, "size")
		one, two := newStore("self", time.Second), newStore("self", time.Second)
		absent := rapid.IntRange(0, 200).Draw(t, "absent")
		for i := range size {
			id := savorystep.InstanceID(fmt.Sprint("entry-", i))
			status := savorystep.Fact{Instance: id, Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody(id, true)}
			one.merge(epoch, status, epoch)
			if i != absent {
				two.merge(epoch, status, epoch)
			}
			if rapid.Bool().Draw(t, "inForce") {
				one.revisions.raise(one.members[id], 5)
			}
		}
		for part := range vectorParts {
			if v := one.revisions.vectorPart(part, groupsPerPart); v != nil {
				two.revisions.merge(v)
			}
		}
		for id, m := range two.members {
			if m.revision > one.members[id].revision {
				t.Fatalf("%s has revision %d, want at most %d", id, m.revision, one.members[id].revision)
			}
			if absent >= size && m.revision != one.members[id].revision {
				t.Fatalf("%s has revision %d, want %d", id, m.revision, one.members[id].revision)
			}
		}
		if absent >= size && !one.hasSameRevisions(two.digestBytes()) {
			t.Fatal("revision checksums differ")
		}
	})
}

// TestVectorFitsBudget guards against a vector that never fits into the burst
// of the byte budget with 2,500 instances, the largest fleet of the design.
func TestVectorFitsBudget(t *testing.T) {
	s := newStore("self", time.Second)
	for i := range 2500 {
		id := savorystep.InstanceID(fmt.Sprint("entry-", i))
		s.merge(epoch, savorystep.Fact{Instance: id, Sequence: 1, Kind: savorystep.FactStatus, Body: statusBody(id, true)}, epoch)
		s.revisions.raise(s.members[id], 1)
	}
	total := 0
	for part := range vectorParts {
		v := s.revisions.vectorPart(part, groupsPerPart)
		data, err := encMode.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if len(data) > v.sizeBound() || v.sizeBound() > defaultBytesPerSecond*burstRatio-reservedBytes {
			t.Errorf("part has %d bytes, bound %d, burst %v", len(data), v.sizeBound(), defaultBytesPerSecond*burstRatio-reservedBytes)
		}
		total += len(data)
	}
	t.Logf("vector of 2500 members has %d bytes", total)
}

// TestTokenBucket guards against a period of one second that carries more than
// the budget, whenever it starts, when the sender uses all available bytes.
func TestTokenBucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const budget = 5000
		b := newTokenBucket(budget, epoch)
		sent := make([]int, 5000) // Bytes per millisecond.
		for ms := 0; ms < len(sent); ms += rapid.IntRange(1, 500).Draw(t, "pause") {
			now := epoch.Add(time.Duration(ms) * time.Millisecond)
			if available := b.available(now); available > 0 {
				b.spend(now, available)
				sent[ms] = available
			}
		}
		sum := 0
		for ms, bytes := range sent {
			sum += bytes
			if ms >= 1000 {
				sum -= sent[ms-1000]
			}
			if sum > budget {
				t.Fatalf("%d bytes in the second up to millisecond %d, budget %d", sum, ms, budget)
			}
		}
	})
}

// TestChooseNeighbours guards against neighbours that are all in one zone.
func TestChooseNeighbours(t *testing.T) {
	all := make([]savorystep.Instance, 0, 500)
	for i := range 500 {
		all = append(all, savorystep.Instance{
			ID:    savorystep.InstanceID(fmt.Sprint("entry-", i)),
			Place: savorystep.Place{Region: savorystep.Region(strconv.Itoa(i % 5)), Zone: savorystep.Zone(strconv.Itoa(i % 10))},
		})
	}
	chosen := chooseNeighbours(all[0], all[1:], 24, 8)
	if len(chosen) != 8 {
		t.Fatalf("%d neighbours, want 8", len(chosen))
	}
	sameZone, otherRegion := 0, 0
	for _, instance := range chosen {
		if instance.Place == all[0].Place {
			sameZone++
		}
		if instance.Place.Region != all[0].Place.Region {
			otherRegion++
		}
	}
	if sameZone < 2 || otherRegion == 0 {
		t.Errorf("%d neighbours in the same zone and %d in other regions, want at least 2 and 1", sameZone, otherRegion)
	}
	if got := chooseNeighbours(all[0], all[1:13], 24, 8); len(got) != 12 {
		t.Errorf("%d neighbours, want all 12", len(got))
	}
}

// TestSuspicionFromRemovedInstance guards against sides of a healed partition
// that never rejoin because neither accepts a suspicion of itself from the
// other.
func TestSuspicionFromRemovedInstance(t *testing.T) {
	s := newStore("self", time.Second)
	s.addLocal(epoch, savorystep.FactStatus, "", statusBody("self", true))
	s.addTombstone("b", tombstone{sequence: 9, expiresAt: epoch.Add(time.Hour)})
	suspicion := savorystep.Fact{Instance: "b", Sequence: 5, Kind: factSuspicion, Subject: "self", Body: suspicionBody(1)}
	if s.merge(epoch, suspicion, epoch) == nil || !s.isSelfSuspected() {
		t.Error("suspicion of this instance by a removed one is rejected")
	}
}
