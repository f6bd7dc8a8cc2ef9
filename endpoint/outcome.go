package endpoint

// An Outcome is how an attempt at an endpoint ended.
type Outcome uint8

// The outcomes.
const (
	// OutcomeAnswered means that the endpoint answered, whatever it said.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that it answered with a failure of its own.
	OutcomeFailed
	// OutcomeShed means that it did not run the request for lack of room.
	OutcomeShed
	// OutcomeMisdirected means that another endpoint has the address.
	OutcomeMisdirected
	// OutcomeConnectFailed means that no connection could be opened.
	OutcomeConnectFailed
	// OutcomeBrokenResponse means that the connection ended without a whole answer.
	OutcomeBrokenResponse
	// OutcomeTimedOut means that no answer came in time.
	OutcomeTimedOut
	// OutcomeCancelled means that the caller went away.
	OutcomeCancelled
	// OutcomeResponseDropped means that this instance had no room for the answer.
	OutcomeResponseDropped
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	names := [...]string{
		OutcomeAnswered: "answered", OutcomeFailed: "failed", OutcomeShed: "shed", OutcomeMisdirected: "gone",
		OutcomeConnectFailed: "refused", OutcomeBrokenResponse: "broken", OutcomeTimedOut: "silent", OutcomeCancelled: "left",
		OutcomeResponseDropped: "unread",
	}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
