package savorystep

// Execution says whether an upstream ran a request.
type Execution uint8

// The values of Execution.
const (
	NotExecuted Execution = iota
	ExecutionUnknown
	Executed
)

// String returns the value of the Savorystep-Ran header: no, unknown or yes.
func (e Execution) String() string {
	switch e {
	case NotExecuted:
		return "no"
	case Executed:
		return "yes"
	default:
		return "unknown"
	}
}
