package upstream

import (
	"testing"

	"savorystep"
)

// TestSilentCancelOrResponse guards against an attempt that is cancelled as silent and whose
// response is passed on all the same. Of the two, the first one counts.
func TestSilentCancelOrResponse(t *testing.T) {
	for _, test := range []struct {
		name          string
		atMostOnce    bool
		responseFirst bool
		wantResponse  bool
		wantCancelled bool
	}{
		{name: "response first", responseFirst: true, wantResponse: true},
		{name: "cancelled first", wantCancelled: true},
		{name: "at-most-once, response first", atMostOnce: true, responseFirst: true, wantResponse: true},
		{name: "at-most-once, silence first", atMostOnce: true, wantResponse: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := New(Config{})
			g := &group{limits: &p.limits, clock: p.clock}
			e := newEndpoint(savorystep.Endpoint{ID: "a", Slots: 1}, p.base, &p.limits)
			isCancelled := false
			a := &attempt{lease: &lease{group: g, endpoint: e}, atMostOnce: test.atMostOnce, cancel: func() { isCancelled = true }}
			hasResponse := false
			if test.responseFirst {
				hasResponse = p.beginResponse(a)
			}
			a.cancelSilent(false)
			if !test.responseFirst {
				hasResponse = p.beginResponse(a)
			}
			if hasResponse != test.wantResponse || isCancelled != test.wantCancelled {
				t.Errorf("response passed on: %v, cancelled: %v, want %v and %v", hasResponse, isCancelled, test.wantResponse, test.wantCancelled)
			}
		})
	}
}
