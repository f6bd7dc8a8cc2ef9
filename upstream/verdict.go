package upstream

// A verdict is what the end of an attempt says about the endpoint.
type verdict int

const (
	verdictNone verdict = iota
	verdictGood
	verdictFailed
	verdictShed
)
