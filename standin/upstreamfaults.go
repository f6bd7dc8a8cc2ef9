package standin

import "savorystep"

// UpstreamFaults are the faults of an Upstream. Setting them replaces all of
// them, but for Silent, which acts once on the connections open at that time.
type UpstreamFaults struct {
	// Shed refuses all requests.
	Shed bool `json:"shed,omitempty"`
	// Drain makes the load page tell that the endpoint drains. Requests still
	// run and are counted as late.
	Drain bool `json:"drain,omitempty"`
	// CrashRequestID crashes the endpoint when it runs a request with this ID.
	CrashRequestID savorystep.RequestID `json:"crashRequest,omitempty"`
	// CrashPath crashes the endpoint when it runs a request with this path.
	CrashPath string `json:"crashPath,omitempty"`
	// Silent makes the connections that are open now accept requests and never
	// answer them.
	Silent bool `json:"silent,omitempty"`
	// Truncate ends answers after half of their body.
	Truncate bool `json:"truncate,omitempty"`
	// Hold keeps requests that run from ending until it is cleared.
	Hold bool `json:"hold,omitempty"`
	// SlowMillis is added to the service time.
	SlowMillis int `json:"slowMillis,omitempty"`
	// LoadPageLagMillis is the age of what the load page tells.
	LoadPageLagMillis int `json:"pageLagMillis,omitempty"`
	// HangLoadPage makes the load page hang.
	HangLoadPage bool `json:"pageStop,omitempty"`
	// FakeBusySlots makes the load page tell PageBusy instead of the busy slots.
	FakeBusySlots     bool             `json:"pageLie,omitempty"`
	ReportedBusySlots savorystep.Slots `json:"pageBusy,omitempty"`
	// FakeDrain makes the load page tell that the endpoint drains although it
	// does not.
	FakeDrain bool `json:"pageDrain,omitempty"`
	// InvertHealth makes the load page tell the opposite of the health.
	InvertHealth bool `json:"healthLie,omitempty"`
}
