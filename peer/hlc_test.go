package peer_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savorystep"
	"savorystep/peer"
)

// A fixedClock returns the same time until it is set.
type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestHLCOrdersAcrossSkew guards against timestamps out of causal order between
// machines whose clocks differ or run backwards.
func TestHLCOrdersAcrossSkew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clocks := []*fixedClock{{noon}, {noon.Add(30 * time.Second)}, {noon.Add(-time.Hour)}}
		hlcs := make([]*peer.HLC, 0, len(clocks))
		for _, c := range clocks {
			hlcs = append(hlcs, peer.NewHLC(c))
		}
		var last savorystep.Timestamp
		// A message passes from one instance to the next. Each timestamp must
		// be greater than the one before.
		for range rapid.IntRange(1, 50).Draw(t, "hops") {
			i := rapid.IntRange(0, 2).Draw(t, "instance")
			clocks[i].now = clocks[i].now.Add(time.Duration(rapid.IntRange(-100, 100).Draw(t, "ms")) * time.Millisecond)
			if peer.CompareTimestamps(last, savorystep.Timestamp{}) > 0 && !hlcs[i].Observe(last) {
				// The clock that is an hour behind ignores the timestamps of
				// the others. Its timestamps may precede theirs.
				if i != 2 {
					t.Fatal("timestamp within MaxClockSkew is ignored")
				}
				continue
			}
			timestamp := hlcs[i].Now()
			if peer.CompareTimestamps(timestamp, last) <= 0 {
				t.Fatalf("timestamp %v is not after %v", timestamp, last)
			}
			last = timestamp
		}
	})
}

// TestHLCIgnoresFarFuture guards against one machine with a wrong clock that
// moves the timestamps of all others into the future.
func TestHLCIgnoresFarFuture(t *testing.T) {
	h := peer.NewHLC(&fixedClock{noon})
	if h.Observe(savorystep.Timestamp{Wall: noon.Add(2 * peer.MaxClockSkew).UnixNano()}) {
		t.Error("timestamp beyond MaxClockSkew is accepted")
	}
	if got := h.Now().Wall; got != noon.UnixNano() {
		t.Errorf("timestamp is %v, want %v", time.Unix(0, got), noon)
	}
	// The logical part must not overflow to a lesser timestamp.
	greatest := savorystep.Timestamp{Wall: noon.UnixNano(), Logical: ^uint32(0)}
	h.Observe(greatest)
	if peer.CompareTimestamps(h.Now(), greatest) <= 0 {
		t.Error("logical part overflows to a lesser timestamp")
	}
}

// TestEventRingDropsOldest guards against a ring that exceeds its size or loses
// its order.
func TestEventRingDropsOldest(t *testing.T) {
	r := peer.NewEventRing(peer.EventRingConfig{Self: "a", HLC: peer.NewHLC(&fixedClock{noon}), Size: 10})
	for i := range 25 {
		r.Record(savorystep.Event{Kind: savorystep.EventApply, Text: string(rune('a' + i))})
	}
	events := r.Events()
	if len(events) != 10 || events[0].Text != "p" || events[9].Text != "y" {
		t.Errorf("Events = %v, want the last 10", events)
	}
	if !slices.IsSortedFunc(events, func(a, b savorystep.Event) int { return peer.CompareTimestamps(a.Timestamp, b.Timestamp) }) {
		t.Error("events are not ordered by timestamp")
	}
}

// TestMergeTimelines guards against duplicates and against an effect that
// precedes its cause.
func TestMergeTimelines(t *testing.T) {
	a := peer.NewEventRing(peer.EventRingConfig{Self: "a", HLC: peer.NewHLC(&fixedClock{noon.Add(20 * time.Second)})})
	hlc := peer.NewHLC(&fixedClock{noon})
	b := peer.NewEventRing(peer.EventRingConfig{Self: "b", HLC: hlc})
	b.Record(savorystep.Event{Text: "first"})
	a.Record(savorystep.Event{Text: "cause"})
	hlc.Observe(a.Events()[0].Timestamp)
	b.Record(savorystep.Event{Text: "effect"})
	lists := [][]savorystep.Event{a.Events(), b.Events(), b.Events(), a.Events()}
	rand.Shuffle(len(lists), func(i, j int) { lists[i], lists[j] = lists[j], lists[i] })
	merged := peer.MergeTimelines(lists...)
	texts := make([]string, 0, len(merged))
	for _, event := range merged {
		texts = append(texts, event.Text)
	}
	if !slices.Equal(texts, []string{"first", "cause", "effect"}) {
		t.Errorf("merged events %v, want first, cause, effect", texts)
	}
}
