package ingress

import "savorystep"

// A Config configures a Front.
type Config struct {
	Clock    savorystep.Clock
	Names    savorystep.HeaderNames
	Place    savorystep.Place
	Sender   Sender
	Steering *Steering
}
