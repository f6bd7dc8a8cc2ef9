package upstream

// A verdict is what the end of an attempt says about the endpoint.
type verdict int

const (
	verdictNeutral verdict = iota
	verdictSuccess
	verdictFailed
	// verdictGone means that nothing listens at the endpoint's address.
	verdictNotListening
	verdictShed
)
