package upstream_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"savorystep"
	"savorystep/standin"
	"savorystep/upstream"
)

// TestZone guards against leaving the own zone while it has a free slot, and
// against staying in it when it has none.
func TestPreferOwnZone(t *testing.T) {
	s := newTestbed(t)
	s.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1})
	s.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
	other := s.registry.endpoints[1]
	other.Place.Zone = "natal-b"
	s.registry.set(other)
	p := s.newPool(nil)
	first, err := p.Forward(t.Context(), get("r1", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.Forward(t.Context(), get("r2", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	if first.Endpoint != "a" || second.Endpoint != "b" {
		t.Errorf("endpoints %s, %s", first.Endpoint, second.Endpoint)
	}
	readAll(t, first)
	readAll(t, second)
}

// TestForward guards against a broken path of a request: its answer, body,
// path, query and slot.
func TestForward(t *testing.T) {
	s := newTestbed(t)
	s.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := s.newPool(nil)
	request := post("r1", "/echo/x?q=1")
	request.Body, request.BodyLength = strings.NewReader("hello"), 5
	response, err := p.Forward(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	var answer standin.UpstreamAnswer
	if err := json.Unmarshal([]byte(readAll(t, response)), &answer); err != nil {
		t.Fatal(err)
	}
	want := standin.UpstreamAnswer{
		Request: "r1", Service: testService, Endpoint: "a", Path: "/echo/x", Query: "q=1", Length: 5, Run: 1,
		SHA256: "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824",
	}
	if answer != want {
		t.Errorf("answer %+v, want %+v", answer, want)
	}
	if loads := p.RegionLoads(testService, savorystep.SystemClock{}.Now()); loads[0].UsedSlots != 0 {
		t.Errorf("%d slots used after the answer", loads[0].UsedSlots)
	}
}

// TestShiftCap guards against a shift above its cap, and against a request
// that needs the unit of a budget and is sent without it.
func TestShiftCap(t *testing.T) {
	s := newTestbed(t)
	s.addUpstream("a", "natal", standin.UpstreamConfig{})
	s.addUpstream("b", "recife", standin.UpstreamConfig{})
	budgets := &fakeBudgets{}
	p := s.newPool(func(c *upstream.Config) { c.Budgets = budgets })
	shifted := record("natal")
	shifted.Shifts = []savorystep.Shift{{From: "natal", To: "recife", Percent: 100, Cap: 1}}
	first := get("r1", "/echo")
	first.Record = shifted
	held, err := p.Forward(t.Context(), first)
	if err != nil {
		t.Fatal(err)
	}
	name := savorystep.ShiftBudget(testService, "natal", "recife")
	if held.Region != "recife" || budgets.inUse(name) != 1 {
		t.Errorf("region %s with %d units", held.Region, budgets.inUse(name))
	}
	second := get("r2", "/echo")
	second.Record = shifted
	if _, err = p.Forward(t.Context(), second); savorystep.KindOf(err) != savorystep.KindCapReached {
		t.Errorf("error %v above the cap of a drain", err)
	}
	if s.runsOf("r2") != 0 {
		t.Error("a refused request ran")
	}
	readAll(t, held)
	if budgets.inUse(name) != 0 {
		t.Error("the unit was not released")
	}
}

// TestHoldExpires guards against a first byte sent after the budget unit of
// the request expired.
func TestExpiredPermit(t *testing.T) {
	s := newTestbed(t)
	a := s.addUpstream("a", "natal", standin.UpstreamConfig{})
	budgets := &fakeBudgets{expired: true}
	p := s.newPool(func(c *upstream.Config) { c.Budgets = budgets })
	request := get("r1", "/echo")
	request.Record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"natal": 5}
	_, err := p.Forward(t.Context(), request)
	if savorystep.KindOf(err) != savorystep.KindCapReached {
		t.Errorf("error %v", err)
	}
	if runs := a.Runs().Total; runs != 0 {
		t.Errorf("%d runs without a valid unit", runs)
	}
	if used := p.RegionLoads(testService, time.Now())[0].UsedSlots; used != 0 {
		t.Errorf("%d slots used", used)
	}
}
