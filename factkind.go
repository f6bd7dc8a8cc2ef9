package savorystep

// A FactKind is the kind of a fact.
type FactKind uint8

// The kinds of facts.
const (
	FactDraining FactKind = iota + 1 // Subject: endpoint. Body: empty.
	FactHealth                       // Subject: endpoint. Body: HealthFact.
	FactInFlight                     // Subject: endpoint. Body: InFlightFact.
	FactRevision                     // Subject: empty. Body: RevisionFact.
	FactStatus                       // Subject: empty. Body: StatusFact. Serves as heartbeat.
	FactCrash                        // Subject: fingerprint in hex. Body: StrikeFact.
	FactUnknown                      // Subject: unknown name. Body: UnknownFact.
)
