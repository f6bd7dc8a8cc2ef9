package savorystep

import (
	"net/http"
	"time"
)

// A KindInfo holds the properties of an error kind that a caller's response shows.
type KindInfo struct {
	// Name is the value of the Savorystep-Kind header.
	Name string
	// Status is the HTTP status code of the response.
	Status int
	// Execution says whether an upstream ran the request.
	Execution Execution
	// Retryable is true if the caller may send the same request again.
	Retryable bool
	// RetryDelay is the minimum time that the caller waits before it sends the
	// request again.
	RetryDelay time.Duration
}

var kindInfos = [kindCount]KindInfo{
	KindNone:             {Name: "None", Status: http.StatusOK, Execution: Executed},
	KindBadRequest:       {Name: "BadRequest", Status: http.StatusBadRequest, Execution: NotExecuted},
	KindCapReached:       {Name: "CapReached", Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryDelay: time.Second},
	KindDeadlineExceeded: {Name: "DeadlineExceeded", Status: http.StatusGatewayTimeout, Execution: ExecutionUnknown},
	KindInProgress:       {Name: "InProgress", Status: http.StatusConflict, Execution: ExecutionUnknown, Retryable: true, RetryDelay: time.Second},
	KindInternal:         {Name: "Internal", Status: http.StatusInternalServerError, Execution: ExecutionUnknown},
	KindKeyConflict:      {Name: "KeyConflict", Status: http.StatusUnprocessableEntity, Execution: NotExecuted},
	KindNoUpstream:       {Name: "NoUpstream", Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryDelay: time.Second},
	KindNotFound:         {Name: "NotFound", Status: http.StatusNotFound, Execution: NotExecuted},
	KindNotReady:         {Name: "NotReady", Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryDelay: time.Second},
	KindOutcomeUnknown:   {Name: "OutcomeUnknown", Status: http.StatusBadGateway, Execution: ExecutionUnknown},
	KindOverloaded:       {Name: "Overloaded", Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryDelay: 500 * time.Millisecond},
	KindPlatformDown:     {Name: "PlatformDown", Status: http.StatusServiceUnavailable, Execution: NotExecuted, Retryable: true, RetryDelay: 2 * time.Second},
	KindQuarantined:      {Name: "Quarantined", Status: http.StatusForbidden, Execution: NotExecuted},
	KindTooLarge:         {Name: "TooLarge", Status: http.StatusRequestEntityTooLarge, Execution: NotExecuted},
	KindUnauthorized:     {Name: "Unauthorized", Status: http.StatusUnauthorized, Execution: NotExecuted},
	KindUnknownName:      {Name: "UnknownName", Status: http.StatusNotFound, Execution: NotExecuted},
	KindUpstreamFailed:   {Name: "UpstreamFailed", Status: http.StatusBadGateway, Execution: ExecutionUnknown},
	KindVersionConflict:  {Name: "VersionConflict", Status: http.StatusPreconditionFailed, Execution: NotExecuted},
}
