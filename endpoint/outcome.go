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
	// OutcomeGone means that another endpoint has the address.
	OutcomeGone
	// OutcomeRefused means that no connection could be opened.
	OutcomeRefused
	// OutcomeBroken means that the connection ended without a whole answer.
	OutcomeBroken
	// OutcomeSilent means that no answer came in time.
	OutcomeSilent
	// OutcomeLeft means that the caller went away.
	OutcomeLeft
	// OutcomeUnread means that this instance had no room for the answer.
	OutcomeUnread
)

// String returns the name of the outcome in metrics.
func (o Outcome) String() string {
	names := [...]string{
		OutcomeAnswered: "answered", OutcomeFailed: "failed", OutcomeShed: "shed", OutcomeGone: "gone",
		OutcomeRefused: "refused", OutcomeBroken: "broken", OutcomeSilent: "silent", OutcomeLeft: "left",
		OutcomeUnread: "unread",
	}
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
