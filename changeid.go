package savorystep

// A ChangeID identifies a change. The client that proposes the change chooses it,
// so that it can look up the change if the response is lost.
type ChangeID string
