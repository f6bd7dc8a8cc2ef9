package savorystep

// Ran says whether a request was run by an upstream.
type Ran uint8

// The values of Ran.
const (
	RanNo Ran = iota
	RanUnknown
	RanYes
)

// String returns the form used in the Savorystep-Ran header.
func (r Ran) String() string {
	switch r {
	case RanNo:
		return "no"
	case RanYes:
		return "yes"
	default:
		return "unknown"
	}
}
