package upstream

import (
	"net"

	"savorystep"
)

// A Config configures a Pool. Facts, Budgets and Recorder may be nil: without
// Facts the Pool knows only its own requests, without Budgets records with
// limits or caps are refused.
type Config struct {
	Registry savorystep.Registry
	Facts    savorystep.Facts
	Budgets  savorystep.Budgets
	// Members tells how many instances share the reads of the platform's list;
	// nil means that this one is alone.
	Members  savorystep.Members
	Recorder savorystep.EventRecorder
	// Clock is savorystep.SystemClock by default.
	Clock savorystep.Clock
	// Self is this instance.
	Self   savorystep.Instance
	Limits Limits
	// WrapConn, if not nil, wraps each new connection to an address, for example
	// to add the latency of a link.
	WrapConn func(made net.Conn, address string) net.Conn
}
