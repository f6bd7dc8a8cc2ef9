package upstream

// A waiter is a request in the queue of a group. granted receives one value
// while the waiter is in the queue: the endpoint whose slot was granted, or nil
// if no endpoint is usable. A waiter that stops waiting removes itself from the
// queue under the group's lock.
type waiter struct {
	options forwardOptions
	granted chan *endpoint
}
