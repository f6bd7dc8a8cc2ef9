// Package upstream steers requests to upstreams: it chooses the region, the
// availability zone and the endpoint, keeps the slots, the queues, the health
// of endpoints and the outgoing connections, and wraps forwarding with
// retries, quarantine and idempotency keys.
//
// Lock order: Pool.mu before group.mu. Connections and attempts have locks of
// their own that are taken last. No lock is held while the package calls
// Facts, Budgets, Keys, Registry or Recorder.
package upstream
