package cmd

import (
	"sync/atomic"

	"savorystep"
	"savorystep/upstream"
)

// A factGroups names the group of a fact about an endpoint. The pool is set once
// it is made, since it needs the exchange that uses the groups.
type factGroups struct {
	pool atomic.Pointer[upstream.Pool]
}

// newFactGroups returns groups without a pool.
func newFactGroups() *factGroups {
	return &factGroups{}
}

// name returns the service and region of the endpoint that a fact is about, or
// the subject itself if the endpoint is not known.
func (g *factGroups) name(subject string) string {
	pool := g.pool.Load()
	if pool == nil {
		return subject
	}
	if name := pool.GroupName(savorystep.EndpointID(subject)); name != "" {
		return name
	}
	return subject
}
