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

// An unknownOutcomeError is the error of a change that may have been applied or may still
// be applied.
type unknownOutcomeError struct {
	error
}

// Unwrap returns the wrapped error, which has the kind.
func (u *unknownOutcomeError) Unwrap() error {
	return u.error
}

// jsonHandler returns a handler that responds with the result of a function, or with its
// error, as JSON, and counts the request.
func (s *server) jsonHandler(handle func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		result, err := handle(r)
		s.requests.WithLabelValues(chi.RouteContext(r.Context()).RoutePattern(), savorystep.KindOf(err).String()).Inc()
		if err != nil {
			s.writeError(w, r, err)
			return
		}
		writeJSON(w, http.StatusOK, result)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		log.Errorf("encode response: %v; the status would have been %d", err, status)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_, _ = w.Write(append(data, '\n'))
}

// writeError responds with an error. The headers hold its kind and whether the request
// was executed.
func (s *server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	kind := savorystep.KindOf(err)
	info := kind.Info()
	body := ErrorBody{Kind: info.Name, Detail: err.Error(), RetryDelayMillis: info.RetryDelay.Milliseconds()}
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
		body.CurrentRevision = conflict.currentRevision
	}
	if kind == savorystep.KindInternal {
		log.Errorf("%s %s failed: %v", r.Method, r.URL.Path, err)
	}
	header := w.Header()
	header.Set(savorystep.HeaderKind, info.Name)
	execution := info.Execution
	var unknownOutcome *unknownOutcomeError
	if errors.As(err, &unknownOutcome) {
		execution = savorystep.ExecutionUnknown
	}
	header.Set(savorystep.HeaderRan, execution.String())
	if info.Retryable {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(body.RetryDelayMillis)/1000))))
	}
	writeJSON(w, info.Status, body)
}

// readJSON decodes the JSON body of a request. It rejects unknown fields, so that a newer
// client gets an error instead of a change that ignores some of its fields.
func readJSON(r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(target)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return nil
		}
		err = errors.New("more than one JSON value")
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return savorystep.NewError(savorystep.KindTooLarge, "the request body has more than %d bytes", tooLarge.Limit)
	}
	return savorystep.WrapError(savorystep.KindBadRequest, err, "decode request body")
}

// queryUint parses a query parameter. It returns defaultValue if the parameter is absent.
func queryUint(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, savorystep.NewError(savorystep.KindBadRequest, "query parameter %s: %q is not a non-negative integer", name, text)
	}
	return n, nil
}

func sortedServices(view *savorystep.View) []savorystep.Service {
	return slices.Sorted(maps.Keys(view.Records))
}
