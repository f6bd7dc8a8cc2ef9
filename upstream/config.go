package upstream

import (
	"net"

	"savorystep"
)

// A Config configures a Pool. Facts, Budgets and Recorder may be nil: without
// Facts, the Pool counts only its own requests; without Budgets, requests that
// need a permit are rejected.
type Config struct {
	Registry savorystep.Registry
	Facts    savorystep.Facts
	Budgets  savorystep.Budgets
	// Members provides the number of instances that share the reads of the
	// platform's endpoint list. If it is nil, this instance counts as the only
	// one.
	Members  savorystep.Members
	Recorder savorystep.EventRecorder
	// Clock defaults to savorystep.SystemClock.
	Clock savorystep.Clock
	// Self is this instance.
	Self   savorystep.Instance
	Limits Limits
	// WrapConn, if not nil, wraps each new connection to an address, for
	// example to simulate the latency of a network link.
	WrapConn func(c net.Conn, address string) net.Conn
}
