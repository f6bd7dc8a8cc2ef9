package peer

// Stats counts what an exchange has done since its start.
type Stats struct {
	// Sent and Received are bytes of WebSocket messages with their headers,
	// without those of TCP and IP.
	Sent, Received uint64
	// FramesSent and FramesReceived count messages.
	FramesSent, FramesReceived uint64
	// Links is the number of connections now, Dials and Ends that of
	// connections opened by this instance and ended by either side.
	Links, Dials, Ends int
	// Learned counts facts that were new, Duplicates those that were not.
	Learned, Duplicates int
	// Refused counts frames and hellos that ended a connection.
	Refused int
	// SkewedStamps counts stamps that were too far ahead.
	SkewedStamps int
}
