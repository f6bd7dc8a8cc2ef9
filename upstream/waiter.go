package upstream

// A waiter is a request that waits in the queue of a group. granted yields the
// endpoint once, while the waiter is listed; a waiter that gives up removes
// itself under the group's lock.
type waiter struct {
	options forwardOptions
	granted chan *endpoint
}
