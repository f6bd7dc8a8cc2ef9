package upstream

// A verdict is what the outcome of an attempt says about the endpoint's health.
type verdict int

const (
	verdictNeutral verdict = iota
	verdictSuccess
	verdictFailed
	// verdictNotListening means that nothing listens at the endpoint's address.
	verdictNotListening
	verdictShed
)
