// Package entry implements a client of savorystep's entry instances and an open-loop
// load generator that uses it. The client looks services up, caches the responses and
// retries requests where a second execution is excluded or does no harm.
package entry
