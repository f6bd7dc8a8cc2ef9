package caller

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"

	"savorystep"
)

// A Refusal is the JSON body of an answer with an error kind.
type Refusal struct {
	Kind        string               `json:"kind"`
	Detail      string               `json:"detail"`
	Ran         string               `json:"ran"`
	Retry       bool                 `json:"retry"`
	Delay       int64                `json:"delay,omitempty"`
	Suggestions []savorystep.Service `json:"suggestions,omitempty"`
}

// refuse answers with the error's kind. Delay is in milliseconds.
func (s *Server) refuse(w http.ResponseWriter, err error) {
	var typed *savorystep.Error
	if !errors.As(err, &typed) {
		typed = savorystep.WrapError(savorystep.KindInternal, err, "the request failed")
	}
	s.metrics.countRefusal(typed.Kind)
	answer := typed.Kind.Info()
	ran := typed.Execution().String()
	header := w.Header()
	header.Set(savorystep.HeaderKind, answer.Name)
	header.Set(savorystep.HeaderRan, ran)
	delay := typed.RetryAfter()
	if delay > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(delay.Seconds()))))
	}
	writeJSON(w, answer.Status, Refusal{
		Kind:        answer.Name,
		Detail:      typed.Detail,
		Ran:         ran,
		Retry:       answer.Retryable,
		Delay:       delay.Milliseconds(),
		Suggestions: typed.Suggestions,
	})
}

// refuseUndecided refuses a request about which the key ledger has not spoken.
// If it has a key and may be a repeat, an earlier attempt may have run it.
func (s *Server) refuseUndecided(w http.ResponseWriter, r *http.Request, err error) {
	var typed *savorystep.Error
	repeat := r.Header.Get(savorystep.HeaderKey) != "" && r.Header.Get(savorystep.HeaderAttempt) != "1"
	if repeat && errors.As(err, &typed) {
		undecided := *typed
		undecided.MayHaveExecuted = true
		err = &undecided
	}
	s.refuse(w, err)
}

// writeJSON answers with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		log.Errorf("Can't encode an answer: %v.", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	if _, err := w.Write(data); err != nil {
		log.Debugf("A caller left before its answer: %v.", err)
	}
}
