package upstream

import "savorystep"

// A LoadPage is what the load page of an endpoint tells.
type LoadPage struct {
	Slots    savorystep.Slots `json:"slots"`
	Busy     savorystep.Slots `json:"busy"`
	Draining bool             `json:"draining"`
	Healthy  bool             `json:"healthy"`
}
