package peer

// Stats counts what an exchange has done since its start.
type Stats struct {
	// SentBytes and ReceivedBytes are bytes of WebSocket messages with their headers,
	// without those of TCP and IP.
	SentBytes, ReceivedBytes uint64
	// SentFrames and ReceivedFrames count messages.
	SentFrames, ReceivedFrames uint64
	// Links is the number of connections now, DialedLinks and ClosedLinks that of
	// connections opened by this instance and ended by either side.
	Links, DialedLinks, ClosedLinks int
	// NewFacts counts facts that were new, DuplicateFacts those that were not.
	NewFacts, DuplicateFacts int
	// RejectedFrames counts frames and hellos that ended a connection.
	RejectedFrames int
	// SkewedTimestamps counts stamps that were too far ahead.
	SkewedTimestamps int
}
