package savorystep

// A Zone is the name of an availability zone, for example "recife-a".
type Zone string
