// Package caller implements the HTTP listener for callers. It answers lookups with
// the entry instances to use for a service, and forwards requests to upstreams.
package caller
