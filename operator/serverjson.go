package operator

import (
	"encoding/json"
	"errors"
	"io"
	"maps"
	"math"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-chi/chi/v5"

	"savorystep"
)

// An unsettledError is the error of a change that may have been made or may
// still be made.
type unsettledError struct {
	error
}

// Unwrap returns the error with its kind.
func (u *unsettledError) Unwrap() error {
	return u.error
}

// handle turns a function into a handler that answers with JSON.
func (s *server) handle(f func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		answer, err := f(r)
		s.requests.WithLabelValues(chi.RouteContext(r.Context()).RoutePattern(), savorystep.KindOf(err).String()).Inc()
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		log.Errorf("encode an answer: %v", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client is gone.
	_, _ = w.Write(append(data, '\n'))
}

func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := savorystep.KindOf(err)
	answer := kind.Info()
	body := ErrorBody{Kind: answer.Name, Detail: err.Error(), RetryDelayMillis: answer.RetryDelay.Milliseconds()}
	var e *savorystep.Error
	if errors.As(err, &e) {
		body.Detail = e.Detail
		if e.Cause != nil {
			body.Detail += ": " + e.Cause.Error()
		}
		body.Suggestions = e.Suggestions
		body.RetryDelayMillis = e.RetryAfter().Milliseconds()
	}
	var conflict *conflictError
	if errors.As(err, &conflict) {
		body.CurrentRevision = conflict.current
	}
	if kind == savorystep.KindInternal {
		log.Errorf("%s %s failed: %v", r.Method, r.URL.Path, err)
	}
	header := w.Header()
	header.Set(savorystep.HeaderKind, answer.Name)
	ran := answer.Execution
	var unsettled *unsettledError
	if errors.As(err, &unsettled) {
		ran = savorystep.ExecutionUnknown
	}
	header.Set(savorystep.HeaderRan, ran.String())
	if answer.Retryable {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(body.RetryDelayMillis)/1000))))
	}
	writeJSON(w, answer.Status, body)
}

// readJSON reads the body of a request, refusing fields that it does not
// know, so that a newer client learns that the server cannot do as told.
func readJSON(r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more than one value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return savorystep.NewError(savorystep.KindTooLarge, "the request has more than %d bytes", tooLarge.Limit)
	}
	return savorystep.WrapError(savorystep.KindBadRequest, err, "the request is not the expected JSON")
}

// queryNumber reads a number of the query.
func queryNumber(r *http.Request, name string, preset uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return preset, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, savorystep.NewError(savorystep.KindBadRequest, "%s %q is not a whole number", name, text)
	}
	return n, nil
}

func sortedServices(view *savorystep.View) []savorystep.Service {
	return slices.Sorted(maps.Keys(view.Records))
}
