package savorystep

// A Repetition says whether a request may run more than once.
type Repetition uint8

// The kinds of repetition.
const (
	// RepetitionNever means that a request runs at most once.
	RepetitionNever Repetition = iota
	// RepetitionSafe means that running a request again does no harm.
	RepetitionSafe
	// RepetitionUpload means that a request runs at most once and has a large
	// body.
	RepetitionUpload
)

// String returns the name of the kind in logs.
func (r Repetition) String() string {
	switch r {
	case RepetitionSafe:
		return "safe"
	case RepetitionUpload:
		return "upload"
	default:
		return "never"
	}
}
