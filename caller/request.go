package caller

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"savorystep"
)

// serveRequest forwards a request of a caller to an upstream and streams the
// answer back.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	now := s.Clock.Now()
	s.inFlight.Add(1)
	s.metrics.inFlight.Inc()
	defer func() {
		s.inFlight.Add(-1)
		s.metrics.inFlight.Dec()
		s.metrics.seconds.Observe(s.Clock.Now().Sub(now).Seconds())
	}()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	request, err := s.newRequest(w, r, now)
	if err != nil {
		s.refuseUndecided(w, r, err)
		return
	}
	w.Header().Set(savorystep.HeaderRequest, string(request.ID))
	w.Header().Set(savorystep.HeaderRevision, strconv.FormatUint(uint64(request.Revision), 10))
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	response, err := s.Forwarder.Forward(ctx, request)
	if err != nil {
		s.refuseRequest(w, r, request, err)
		return
	}
	s.meter.Add(now)
	s.metrics.served.Inc()
	s.copyResponse(w, response)
}

// newRequest checks what the caller sent and steers it.
func (s *Server) newRequest(w http.ResponseWriter, r *http.Request, now time.Time) (*savorystep.Request, error) {
	name, err := parseName(chi.URLParam(r, "name"))
	if err != nil {
		return nil, err
	}
	if err := s.checkReady(r.Header.Get(savorystep.HeaderRevision)); err != nil {
		return nil, err
	}
	deadline, err := parseDeadline(r.Header, s.Limits.DefaultDeadline)
	if err != nil {
		return nil, err
	}
	key, err := parseToken(r.Header, savorystep.HeaderKey, maxKeyBytes)
	if err != nil {
		return nil, err
	}
	id, err := parseToken(r.Header, savorystep.HeaderRequest, maxRequestIDBytes)
	if err != nil {
		return nil, err
	}
	if id == "" {
		id = rand.Text()
	}
	view := s.Config.View()
	record, err := ResolveName(view, name)
	if err != nil {
		s.UnknownNames.Add(name)
		return nil, err
	}
	if r.ContentLength > s.Limits.MaxBodyBytes {
		return nil, savorystep.NewError(savorystep.KindTooLarge, "the body has %d bytes, at most %d are allowed", r.ContentLength, s.Limits.MaxBodyBytes)
	}
	origin := s.Resolver.Origin(r.Header.Get(savorystep.HeaderFrom), remoteAddr(r))
	request := &savorystep.Request{
		ID:             savorystep.RequestID(id),
		Service:        record.Service,
		Record:         record,
		Revision:       view.Revision,
		Method:         r.Method,
		Path:           requestPath(r),
		Header:         forwardedHeader(r.Header),
		BodyLength:     r.ContentLength,
		IdempotencyKey: savorystep.IdempotencyKey(key),
		Idempotent:     key == "" && isIdempotent(r.Method),
		Deadline:       now.Add(deadline),
		Block:          origin.Block,
		Home:           origin.Home,
	}
	return request, s.attachBody(request, w, r)
}

// attachBody bounds the body and fingerprints its beginning.
func (s *Server) attachBody(request *savorystep.Request, w http.ResponseWriter, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		request.BodyLength = 0
		request.Fingerprint = newFingerprint(request, nil)
		return nil
	}
	body := &stallReader{
		Reader:     http.MaxBytesReader(w, r.Body, s.Limits.MaxBodyBytes),
		controller: http.NewResponseController(w),
		stall:      s.Limits.StallTimeout,
	}
	buffered := bufio.NewReaderSize(body, fingerprintBytes)
	head, err := buffered.Peek(fingerprintBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyError(err)
	}
	request.Fingerprint = newFingerprint(request, head)
	request.Body = buffered
	return nil
}

// bodyError returns the error for a body that can't be read.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return savorystep.WrapError(savorystep.KindTooLarge, err, "the body has more than %d bytes", tooLarge.Limit)
	}
	return savorystep.WrapError(savorystep.KindBadRequest, err, "the body ended early")
}

// refuseRequest answers a request that got no answer from an upstream.
func (s *Server) refuseRequest(w http.ResponseWriter, r *http.Request, request *savorystep.Request, err error) {
	kind := savorystep.KindOf(err)
	log.Debugf("Request %s to %s was refused: %v.", request.ID, request.Service, err)
	if kind == savorystep.KindQuarantined {
		s.Recorder.Record(savorystep.Event{
			Kind:    savorystep.EventRefuse,
			Service: request.Service,
			Request: request.ID,
			Text:    "Refused a quarantined request.",
		})
	}
	if kind == savorystep.KindPlatformDown {
		s.refuseUndecided(w, r, err)
		return
	}
	s.refuse(w, err)
}

// copyResponse streams an upstream's answer to the caller. If the answer ends
// early the connection is aborted, so that a part is never taken as a whole.
func (s *Server) copyResponse(w http.ResponseWriter, response *savorystep.Response) {
	defer func() { _ = response.Body.Close() }()
	copyHeader(w.Header(), response.Header)
	header := w.Header()
	header.Set(savorystep.HeaderAttempts, strconv.Itoa(response.Attempts))
	header.Set(savorystep.HeaderEndpoint, string(response.Endpoint))
	header.Set(savorystep.HeaderRan, savorystep.Executed.String())
	if response.BodyLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.BodyLength, 10))
	}
	w.WriteHeader(response.Status)
	writer := &stallWriter{Writer: w, controller: http.NewResponseController(w), stall: s.Limits.StallTimeout}
	if _, err := io.Copy(writer, response.Body); err != nil {
		log.Debugf("An answer ended early: %v.", err)
		panic(http.ErrAbortHandler)
	}
}

// requestPath returns the path and query below the service, unchanged.
func requestPath(r *http.Request) string {
	path := r.URL.EscapedPath()
	rest := strings.TrimPrefix(path, "/s/")
	slash := strings.IndexByte(rest, '/')
	if slash < 0 {
		rest = "/"
	} else {
		rest = rest[slash:]
	}
	if r.URL.RawQuery != "" {
		rest += "?" + r.URL.RawQuery
	}
	return rest
}

// isIdempotent reports whether a request with the method and no key may run
// twice.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut:
		return true
	default:
		return false
	}
}
