// Package upstream forwards requests to the endpoints of upstream services. It
// chooses the region, the availability zone and the endpoint of a request,
// limits the requests in flight per endpoint, queues requests while no slot is
// free, tracks the health of endpoints and keeps the connections to them.
// Forwarders around the Pool add retries, quarantine of requests that crash
// endpoints, and idempotency keys.
//
// Lock order: Pool.mu before group.mu. The locks of connections and attempts
// are acquired last. No lock is held during calls to Facts, Budgets,
// IdempotencyStore, Registry or EventRecorder.
package upstream
