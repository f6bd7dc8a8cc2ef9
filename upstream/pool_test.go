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

// TestPreferOwnZone guards against leaving the instance's own zone while it has
// a free slot, and against staying in it when it has none.
func TestPreferOwnZone(t *testing.T) {
	tb := newTestbed(t)
	tb.addUpstream("a", "natal", standin.UpstreamConfig{Slots: 1})
	tb.addUpstream("b", "natal", standin.UpstreamConfig{Slots: 2})
	other := tb.registry.endpoints[1]
	other.Place.Zone = "natal-b"
	tb.registry.set(other)
	p := tb.newPool(nil)
	first, err := p.Forward(t.Context(), get("r1", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	second, err := p.Forward(t.Context(), get("r2", "/echo"))
	if err != nil {
		t.Fatal(err)
	}
	if first.Endpoint != "a" || second.Endpoint != "b" {
		t.Errorf("requests ran on endpoints %s and %s, want a and b", first.Endpoint, second.Endpoint)
	}
	readAll(t, first)
	readAll(t, second)
}

// TestForward guards against corrupting a request or response on the way: body,
// path, query and response, and against a slot that is not released.
func TestForward(t *testing.T) {
	tb := newTestbed(t)
	tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	p := tb.newPool(nil)
	request := post("r1", "/echo/x?q=1")
	request.Body, request.BodyLength = strings.NewReader("hello"), 5
	response, err := p.Forward(t.Context(), request)
	if err != nil {
		t.Fatal(err)
	}
	var answer standin.UpstreamResponse
	if err := json.Unmarshal([]byte(readAll(t, response)), &answer); err != nil {
		t.Fatal(err)
	}
	want := standin.UpstreamResponse{
		Request: "r1", Service: testService, Endpoint: "a", Path: "/echo/x", Query: "q=1", Length: 5, RunCount: 1,
		SHA256: "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824",
	}
	if answer != want {
		t.Errorf("response %+v, want %+v", answer, want)
	}
	if loads := p.RegionLoads(testService, savorystep.SystemClock{}.Now()); loads[0].UsedSlots != 0 {
		t.Errorf("%d slots used after the response, want 0", loads[0].UsedSlots)
	}
}

// TestShiftCap guards against exceeding the cap of a shift, and against sending
// a request that needs a budget permit without one.
func TestShiftCap(t *testing.T) {
	tb := newTestbed(t)
	tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	tb.addUpstream("b", "recife", standin.UpstreamConfig{})
	budgets := &fakeBudgets{}
	p := tb.newPool(func(c *upstream.Config) { c.Budgets = budgets })
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
		t.Errorf("request ran in region %s with %d permits in use, want recife with 1", held.Region, budgets.inUse(name))
	}
	second := get("r2", "/echo")
	second.Record = shifted
	if _, err = p.Forward(t.Context(), second); savorystep.KindOf(err) != savorystep.KindCapReached {
		t.Errorf("error %v above the cap of the shift, want kind CapReached", err)
	}
	if tb.runsOf("r2") != 0 {
		t.Error("a rejected request ran")
	}
	readAll(t, held)
	if budgets.inUse(name) != 0 {
		t.Error("the permit was not released")
	}
}

// TestExpiredPermit guards against sending the first byte of a request after
// its budget permit has expired.
func TestExpiredPermit(t *testing.T) {
	tb := newTestbed(t)
	a := tb.addUpstream("a", "natal", standin.UpstreamConfig{})
	budgets := &fakeBudgets{expired: true}
	p := tb.newPool(func(c *upstream.Config) { c.Budgets = budgets })
	request := get("r1", "/echo")
	request.Record.InFlightLimits = map[savorystep.Region]savorystep.Slots{"natal": 5}
	_, err := p.Forward(t.Context(), request)
	if savorystep.KindOf(err) != savorystep.KindCapReached {
		t.Errorf("error %v, want kind CapReached", err)
	}
	if runs := a.Stats().Total; runs != 0 {
		t.Errorf("%d runs without a valid permit", runs)
	}
	if used := p.RegionLoads(testService, time.Now())[0].UsedSlots; used != 0 {
		t.Errorf("%d slots used, want 0", used)
	}
}
