// Package endpoint decides which endpoint gets a request. Its types take the
// present time and what was measured and return decisions with reasons. They
// use no network, clock or lock; callers serialize the use of each value.
package endpoint
