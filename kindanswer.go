package savorystep

import (
	"net/http"
	"time"
)

// A KindAnswer is what a caller is told for an error kind.
type KindAnswer struct {
	// Name stands in the Savorystep-Kind header.
	Name string
	// Status is the HTTP status.
	Status int
	// Ran says whether the request was run.
	Ran Ran
	// Retry is true if the same request may be sent again.
	Retry bool
	// Delay is the least time to wait before a retry.
	Delay time.Duration
}

var kindAnswers = [kindCount]KindAnswer{
	KindNone:             {Name: "None", Status: http.StatusOK, Ran: RanYes},
	KindBadRequest:       {Name: "BadRequest", Status: http.StatusBadRequest, Ran: RanNo},
	KindCapReached:       {Name: "CapReached", Status: http.StatusServiceUnavailable, Ran: RanNo, Retry: true, Delay: time.Second},
	KindDeadlineExceeded: {Name: "DeadlineExceeded", Status: http.StatusGatewayTimeout, Ran: RanUnknown},
	KindInProgress:       {Name: "InProgress", Status: http.StatusConflict, Ran: RanUnknown, Retry: true, Delay: time.Second},
	KindInternal:         {Name: "Internal", Status: http.StatusInternalServerError, Ran: RanUnknown},
	KindKeyConflict:      {Name: "KeyConflict", Status: http.StatusUnprocessableEntity, Ran: RanNo},
	KindNoUpstream:       {Name: "NoUpstream", Status: http.StatusServiceUnavailable, Ran: RanNo, Retry: true, Delay: time.Second},
	KindNotFound:         {Name: "NotFound", Status: http.StatusNotFound, Ran: RanNo},
	KindNotReady:         {Name: "NotReady", Status: http.StatusServiceUnavailable, Ran: RanNo, Retry: true, Delay: time.Second},
	KindOutcomeUnknown:   {Name: "OutcomeUnknown", Status: http.StatusBadGateway, Ran: RanUnknown},
	KindOverloaded:       {Name: "Overloaded", Status: http.StatusServiceUnavailable, Ran: RanNo, Retry: true, Delay: 500 * time.Millisecond},
	KindPlatformDown:     {Name: "PlatformDown", Status: http.StatusServiceUnavailable, Ran: RanNo, Retry: true, Delay: 2 * time.Second},
	KindQuarantined:      {Name: "Quarantined", Status: http.StatusForbidden, Ran: RanNo},
	KindTooLarge:         {Name: "TooLarge", Status: http.StatusRequestEntityTooLarge, Ran: RanNo},
	KindUnauthorized:     {Name: "Unauthorized", Status: http.StatusUnauthorized, Ran: RanNo},
	KindUnknownName:      {Name: "UnknownName", Status: http.StatusNotFound, Ran: RanNo},
	KindUpstreamFailed:   {Name: "UpstreamFailed", Status: http.StatusBadGateway, Ran: RanUnknown},
	KindVersionConflict:  {Name: "VersionConflict", Status: http.StatusPreconditionFailed, Ran: RanNo},
}
