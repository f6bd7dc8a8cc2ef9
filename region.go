package savorystep

// A Region names a group of availability zones, for example "recife".
type Region string
