package savorystep

// Slots is a number of requests that run concurrently, such as the capacity of an
// endpoint or the units of a budget.
type Slots int

// MaxEndpointSlots bounds the slots of one endpoint. The sum over all endpoints stays far
// below the end of the type.
const MaxEndpointSlots Slots = 1 << 20
