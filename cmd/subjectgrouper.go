package cmd

import (
	"sync/atomic"

	"savorystep"
	"savorystep/upstream"
)

// A subjectGrouper names the group of a fact about an endpoint. The pool is set once
// it is made, since it needs the exchange that uses the groups.
type subjectGrouper struct {
	pool atomic.Pointer[upstream.Pool]
}

// newSubjectGrouper returns groups without a pool.
func newSubjectGrouper() *subjectGrouper {
	return &subjectGrouper{}
}

// group returns the service and region of the endpoint that a fact is about, or
// the subject itself if the endpoint is not known.
func (g *subjectGrouper) group(subject string) string {
	pool := g.pool.Load()
	if pool == nil {
		return subject
	}
	if name := pool.GroupName(savorystep.EndpointID(subject)); name != "" {
		return name
	}
	return subject
}
