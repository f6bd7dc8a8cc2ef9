package cmd

import (
	"sync/atomic"

	"savorystep"
	"savorystep/upstream"
)

// A subjectGrouper maps the subject of a fact about an endpoint to its group. The
// pool is set after construction, because the pool depends on the exchange, which
// in turn needs the grouper.
type subjectGrouper struct {
	pool atomic.Pointer[upstream.Pool]
}

// newSubjectGrouper returns a grouper without a pool.
func newSubjectGrouper() *subjectGrouper {
	return &subjectGrouper{}
}

// group returns the name of the service and region of the endpoint with the ID
// subject. It returns the subject itself while there is no pool or if the endpoint
// is unknown.
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
