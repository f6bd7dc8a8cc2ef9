package standin

import "savorystep"

// UpstreamFaults are the faults of an Upstream. The zero value has none.
// SetFaults replaces all of them, but Silent keeps its effect on the connections
// that were open when it was set.
type UpstreamFaults struct {
	// Shed rejects all requests.
	Shed bool `json:"shed,omitempty"`
	// Drain makes the load page report that the endpoint is draining. Requests
	// still run, and are counted in RunsAfterDrain.
	Drain bool `json:"drain,omitempty"`
	// CrashRequestID crashes the endpoint when it starts to run the request with
	// this ID.
	CrashRequestID savorystep.RequestID `json:"crashRequest,omitempty"`
	// CrashPath crashes the endpoint when it starts to run a request with this
	// path.
	CrashPath string `json:"crashPath,omitempty"`
	// Silent makes the connections that are open when it is set accept requests
	// without ever responding.
	Silent bool `json:"silent,omitempty"`
	// Truncate closes the connection after half of a response's body.
	Truncate bool `json:"truncate,omitempty"`
	// Hold keeps running requests from ending until it is cleared.
	Hold bool `json:"hold,omitempty"`
	// SlowMillis is added to the service time, in milliseconds.
	SlowMillis int `json:"slowMillis,omitempty"`
	// LoadPageLagMillis is the age of the load on the load page, in milliseconds.
	LoadPageLagMillis int `json:"pageLagMillis,omitempty"`
	// HangLoadPage makes the load page never respond.
	HangLoadPage bool `json:"pageStop,omitempty"`
	// FakeBusySlots makes the load page report ReportedBusySlots instead of the
	// number of busy slots.
	FakeBusySlots     bool             `json:"pageLie,omitempty"`
	ReportedBusySlots savorystep.Slots `json:"pageBusy,omitempty"`
	// FakeDrain makes the load page report that the endpoint is draining although
	// it is not.
	FakeDrain bool `json:"pageDrain,omitempty"`
	// InvertHealth makes the load page report the opposite of the health.
	InvertHealth bool `json:"healthLie,omitempty"`
}
