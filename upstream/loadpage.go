package upstream

import "savorystep"

// A LoadPage is the load that an endpoint reports about itself.
type LoadPage struct {
	Slots    savorystep.Slots `json:"slots"`
	Busy     savorystep.Slots `json:"busy"`
	Draining bool             `json:"draining"`
	Healthy  bool             `json:"healthy"`
}
