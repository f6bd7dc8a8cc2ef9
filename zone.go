package savorystep

// A Zone names an availability zone, for example "recife-a".
type Zone string
