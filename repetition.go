package savorystep

// A Repetition says whether a request may run more than once.
type Repetition uint8

// The kinds of repetition. Peers exchange them by number, so new ones come last.
const (
	// RepetitionNever means that a request runs at most once.
	RepetitionNever Repetition = iota
	// RepetitionSafe means that running a request again does no harm.
	RepetitionSafe
	// RepetitionUpload means that a request runs at most once and has a large
	// body.
	RepetitionUpload
	// RepetitionDownload means that running a request again does no harm and
	// that its answers are large.
	RepetitionDownload
)

// String returns the name of the kind in logs.
func (r Repetition) String() string {
	switch r {
	case RepetitionDownload:
		return "download"
	case RepetitionSafe:
		return "safe"
	case RepetitionUpload:
		return "upload"
	default:
		return "never"
	}
}

// MayRunAgain reports whether a request may run more than once.
func (r Repetition) MayRunAgain() bool {
	return r == RepetitionSafe || r == RepetitionDownload
}
