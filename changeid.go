package savorystep

// A ChangeID is chosen by the writer of a change, so that a lost answer can be
// settled by looking for the ID.
type ChangeID string
