package savorystep

import (
	"net/http"
	"time"
)

// A KindInfo is what a caller is told for an error kind.
type KindInfo struct {
	// Name stands in the Savorystep-Kind header.
	Name string
	// Status is the HTTP status.
	Status int
	// Execution says whether the request was run.
	Execution Execution
	// Retryable is true if the same request may be sent again.
	Retryable bool
	// RetryDelay is the least time to wait before a retry.
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
