package upstream

import "savorystep"

// A Config configures a Pool. Facts, Budgets and Recorder may be nil: without
// Facts the Pool knows only its own requests, without Budgets records with
// limits or caps are refused.
type Config struct {
	Registry savorystep.Registry
	Facts    savorystep.Facts
	Budgets  savorystep.Budgets
	Recorder savorystep.Recorder
	// Clock is savorystep.SystemClock by default.
	Clock savorystep.Clock
	// Self is this instance.
	Self   savorystep.Instance
	Limits Limits
}
