package peer

// Stats holds counters of an exchange since its start.
type Stats struct {
	// SentBytes and ReceivedBytes count the bytes of WebSocket messages with
	// their headers, but without TCP and IP headers.
	SentBytes, ReceivedBytes uint64
	// SentFrames and ReceivedFrames count WebSocket messages.
	SentFrames, ReceivedFrames uint64
	// Links is the current number of connections. DialedLinks counts
	// connections opened by this instance, ClosedLinks those closed by either
	// side.
	Links, DialedLinks, ClosedLinks int
	// NewFacts counts received facts that were new, DuplicateFacts those that
	// were not stored: older or known ones, expired ones and invalid ones.
	NewFacts, DuplicateFacts int
	// RejectedFrames counts frames and hello frames that ended a connection.
	RejectedFrames int
	// SkewedTimestamps counts timestamps that were more than MaxClockSkew
	// ahead.
	SkewedTimestamps int
}
