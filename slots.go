package savorystep

// Slots is a number of requests that run concurrently, such as the capacity of an
// endpoint or the units of a budget.
type Slots int
