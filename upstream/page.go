package upstream

import "savorystep"

// A Page is what the load page of an endpoint tells.
type Page struct {
	Slots    savorystep.Slots `json:"slots"`
	Busy     savorystep.Slots `json:"busy"`
	Draining bool             `json:"draining"`
	Healthy  bool             `json:"healthy"`
}
