package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"savorystep"
)

// A Refusal is the JSON body of a response with an error kind. Ran says whether an
// upstream ran the request: yes, no or unknown. Delay is the minimum time in
// milliseconds before a retry.
type Refusal struct {
	Kind        string               `json:"kind"`
	Detail      string               `json:"detail"`
	Ran         string               `json:"ran"`
	Retry       bool                 `json:"retry"`
	Delay       int64                `json:"delay,omitempty"`
	Suggestions []savorystep.Service `json:"suggestions,omitempty"`
}

// refuse responds with the kind, detail and retry delay of err. An error without a kind
// is reported as KindInternal.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	var kindErr *savorystep.Error
	if !errors.As(err, &kindErr) {
		kindErr = savorystep.WrapError(savorystep.KindInternal, err, "internal error while handling the request")
	}
	s.metrics.countRefusal(kindErr.Kind)
	info := kindErr.Kind.Info()
	ran := kindErr.Execution().String()
	header := w.Header()
	header.Set(savorystep.HeaderKind, info.Name)
	header.Set(savorystep.HeaderRan, ran)
	delay := kindErr.RetryAfter()
	if delay > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	}
	writeJSON(w, info.Status, Refusal{
		Kind:        info.Name,
		Detail:      kindErr.Detail,
		Ran:         ran,
		Retry:       info.Retryable,
		Delay:       delay.Milliseconds(),
		Suggestions: kindErr.Suggestions,
	})
}

// refuseBeforeKeyCheck refuses a request whose idempotency key was not looked up in the
// idempotency store. Unless the caller marks the request as a first attempt, an earlier
// attempt with the same key may have run, so the refusal must not say that the request
// did not run.
func (s *Server) refuseBeforeKeyCheck(w http.ResponseWriter, r *http.Request, err error) {
	var kindErr *savorystep.Error
	mayBeRetry := r.Header.Get(savorystep.HeaderKey) != "" && r.Header.Get(savorystep.HeaderAttempt) != "1"
	if mayBeRetry && errors.As(err, &kindErr) {
		refusal := *kindErr
		refusal.MayHaveExecuted = true
		err = &refusal
	}
	s.refuse(w, err)
}

// writeJSON responds with the given status and body encoded as JSON.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		log.Errorf("encode %T as JSON: %v", body, err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		log.Debugf("write response with status %d to the caller: %v", status, err)
	}
}
