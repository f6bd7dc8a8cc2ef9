// Package store is the client of the platform's transactional table, object
// store and instance list. In the table it keeps the state that all instances
// must agree on: the configuration log, the idempotency store, and the
// grants of shared budgets.
package store
