package savorystep

// A FactKind is the kind of a fact. It determines what the subject identifies and
// the type of the body.
type FactKind uint8

// The fact kinds. Instances exchange them by number.
const (
	FactDraining  FactKind = iota + 1 // Subject: endpoint. Body: empty.
	FactHealth                        // Subject: endpoint. Body: HealthFact.
	FactInFlight                      // Subject: endpoint. Body: InFlightFact.
	FactRevision                      // Subject: empty. Body: RevisionFact.
	FactStatus                        // Subject: empty. Body: StatusFact. Also the heartbeat.
	FactCrash                         // Subject: fingerprint in hex. Body: CrashFact.
	FactUnknown                       // Subject: unknown name. Body: UnknownFact.
	FactRateLimit                     // Subject: endpoint. Body: RateLimitFact.
	FactLeaving                       // Subject: endpoint. Body: LeavingFact.
	FactEnded                         // Subject: endpoint. Body: EndedFact.
)
