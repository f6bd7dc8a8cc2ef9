package savorystep

import "time"

// A Member is an instance with the last status that this instance received from it.
type Member struct {
	StatusFact
	// LastHeartbeat is the time at which the last status fact was received.
	LastHeartbeat time.Time
}

// Members is the membership of the fleet as seen by this instance.
type Members interface {
	// Members returns the instances with a recent status fact, including this
	// one, ordered by ID.
	Members(now time.Time) []Member
	// Self returns the instance that this process runs as.
	Self() Instance
}
