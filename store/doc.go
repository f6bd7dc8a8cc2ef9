// Package store speaks to the platform's transactional table, object store
// and instance list, and keeps in them what instances must agree on: the
// configuration log, the idempotency keys and the grants.
package store
