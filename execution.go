package savorystep

// Execution says whether a request was run by an upstream.
type Execution uint8

// The values of Ran.
const (
	NotExecuted Execution = iota
	ExecutionUnknown
	Executed
)

// String returns the form used in the Savorystep-Ran header.
func (r Execution) String() string {
	switch r {
	case NotExecuted:
		return "no"
	case Executed:
		return "yes"
	default:
		return "unknown"
	}
}
