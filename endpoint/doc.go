// Package endpoint chooses the endpoint of a service that gets a request. Its
// functions are given the current time and the observed outcomes and return
// choices with their reasons. They use no network, clock or lock: callers must
// serialize access to each value.
package endpoint
