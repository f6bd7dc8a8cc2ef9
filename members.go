package savorystep

import "time"

// A Member is an instance as its peers see it.
type Member struct {
	StatusFact
	// LastHeartbeat is when its last status fact was heard.
	LastHeartbeat time.Time
}

// Members is the membership seen by this instance.
type Members interface {
	// Members returns all known instances in order of their IDs, this one
	// included. Instances without a recent status fact are left out.
	Members(now time.Time) []Member
	// Self returns this instance.
	Self() Instance
}
