package caller

import (
	"bufio"
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"

	"savorystep"
	"savorystep/http1"
)

// serveRequest forwards a caller's request to an upstream and streams the response
// back.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	now := s.Clock.Now()
	s.inFlight.Add(1)
	s.metrics.inFlight.Inc()
	defer func() {
		s.inFlight.Add(-1)
		s.metrics.inFlight.Dec()
		s.metrics.requestDuration.Observe(s.Clock.Now().Sub(now).Seconds())
	}()
	isAnswerBegun := false
	defer func() {
		if cause := recover(); cause != nil {
			s.endPanic(w, r, cause, isAnswerBegun)
		}
	}()
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	body := &stallReader{
		Reader:     http.MaxBytesReader(w, r.Body, s.Limits.MaxBodyBytes),
		controller: http.NewResponseController(w),
		timeout:    s.Limits.StallTimeout,
	}
	defer body.release()
	request, err := s.newRequest(body, r, now)
	if err != nil {
		s.refuseBeforeKeyCheck(w, r, err)
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
	if err := http1.CheckFinalStatus(response.Status); err != nil {
		// A response that was stored earlier may have such a status.
		_ = response.Body.Close()
		s.refuseRequest(w, r, request, err)
		return
	}
	s.requestMeter.Add(now)
	s.metrics.requests.Inc()
	isAnswerBegun = true
	s.copyResponse(w, r, response)
}

// endPanic logs and counts a panic of the handler, and ends its request. If the answer has
// not begun, the caller gets a refusal, which doesn't say whether the request has run;
// otherwise the server closes the connection.
func (s *Server) endPanic(w http.ResponseWriter, r *http.Request, cause any, isAnswerBegun bool) {
	if err, ok := cause.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(http.ErrAbortHandler)
	}
	s.metrics.panics.Inc()
	log.Errorf("request %s to %s panicked: %v\n%s", r.Header.Get(savorystep.HeaderRequest), r.URL.Path, cause, debug.Stack())
	if isAnswerBegun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Connection", "close")
	s.refuse(w, savorystep.NewError(savorystep.KindInternal, "internal error while handling the request"))
}

// newRequest validates the caller's HTTP request and returns the request to forward.
// Its body is read up to the end of the part that the fingerprint covers.
func (s *Server) newRequest(body *stallReader, r *http.Request, now time.Time) (*savorystep.Request, error) {
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
	key, err := parseToken(r.Header, savorystep.HeaderKey, maxIdempotencyKeyBytes)
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
		return nil, savorystep.NewError(savorystep.KindTooLarge, "the request body has %d bytes, at most %d are allowed", r.ContentLength, s.Limits.MaxBodyBytes)
	}
	origin := s.Resolver.Origin(r.Header.Get(savorystep.HeaderFrom), remoteAddr(r))
	request := &savorystep.Request{
		ID:             savorystep.RequestID(id),
		Service:        record.Service,
		Record:         record,
		Revision:       view.Revision,
		Method:         r.Method,
		Path:           upstreamPath(r),
		Header:         forwardedHeader(r.Header),
		BodyLength:     r.ContentLength,
		IdempotencyKey: savorystep.IdempotencyKey(key),
		Idempotent:     key == "" && isIdempotent(r.Method),
		Deadline:       now.Add(deadline),
		Block:          origin.Block,
		Home:           origin.Home,
	}
	return request, s.attachBody(request, body, r)
}

// attachBody sets the body and the fingerprint of request. The body fails with an
// error if it is longer than Limits.MaxBodyBytes or if the caller sends nothing for
// Limits.StallTimeout. The fingerprint covers the first fingerprintBodyBytes.
func (s *Server) attachBody(request *savorystep.Request, body *stallReader, r *http.Request) error {
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		request.BodyLength = 0
		request.Fingerprint = newFingerprint(request, nil)
		return nil
	}
	buffered := bufio.NewReaderSize(body, fingerprintBodyBytes)
	bodyPrefix, err := buffered.Peek(fingerprintBodyBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return bodyError(err)
	}
	request.Fingerprint = newFingerprint(request, bodyPrefix)
	request.Body = buffered
	return nil
}

// bodyError returns the error for a request body whose reading failed with err.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return savorystep.WrapError(savorystep.KindTooLarge, err, "the request body has more than %d bytes", tooLarge.Limit)
	}
	return savorystep.WrapError(savorystep.KindBadRequest, err, "the request body ended early")
}

// refuseRequest responds to a request that the forwarder failed with err. If the table
// of idempotency keys was unavailable (KindPlatformDown), earlier attempts with the
// same key are unknown.
func (s *Server) refuseRequest(w http.ResponseWriter, r *http.Request, request *savorystep.Request, err error) {
	kind := savorystep.KindOf(err)
	log.Debugf("request %s to service %s refused: %v", request.ID, request.Service, err)
	if kind == savorystep.KindQuarantined {
		s.Recorder.Record(savorystep.Event{
			Kind:    savorystep.EventRefuse,
			Service: request.Service,
			Request: request.ID,
			Text:    "Refused a quarantined request.",
		})
	}
	if kind == savorystep.KindPlatformDown {
		s.refuseBeforeKeyCheck(w, r, err)
		return
	}
	s.refuse(w, err)
}

// copyResponse streams an upstream's response to the caller. If the body ends early,
// the caller's connection is aborted, so that a truncated body can't be taken for a
// complete one.
func (s *Server) copyResponse(w http.ResponseWriter, r *http.Request, response *savorystep.Response) {
	defer func() { _ = response.Body.Close() }()
	copyResponseHeader(w.Header(), response.Header)
	header := w.Header()
	header.Set(savorystep.HeaderAttempts, strconv.Itoa(response.Attempts))
	header.Set(savorystep.HeaderEndpoint, string(response.Endpoint))
	header.Set(savorystep.HeaderRan, savorystep.Executed.String())
	if response.BodyLength >= 0 {
		header.Set("Content-Length", strconv.FormatInt(response.BodyLength, 10))
	}
	// HTTP/1.0 has no chunks: the end of the connection is that of a body without a length.
	endsWithConn := response.BodyLength < 0 && !r.ProtoAtLeast(1, 1)
	if endsWithConn {
		setResetOnClose(r.Context(), true)
	}
	w.WriteHeader(response.Status)
	writer := &stallWriter{Writer: w, controller: http.NewResponseController(w), timeout: s.Limits.StallTimeout}
	if _, err := io.Copy(writer, response.Body); err != nil {
		log.Debugf("copy response of endpoint %s to the caller: %v", response.Endpoint, err)
		panic(http.ErrAbortHandler)
	}
	if endsWithConn {
		setResetOnClose(r.Context(), false)
	}
}

// setResetOnClose sets whether the end of a request's connection is a reset.
func setResetOnClose(ctx context.Context, isReset bool) {
	c, ok := http1.AcceptedConn(ctx).(*limitConn)
	if !ok {
		return
	}
	if err := c.resetOnClose(isReset); err != nil {
		log.Debugf("set reset of the connection to %s to %t: %v", c.RemoteAddr(), isReset, err)
	}
}

// upstreamPath returns the path and query that r is forwarded with: those of the URL
// without /s/ and the service name, with their escaping unchanged.
func upstreamPath(r *http.Request) string {
	escapedPath := r.URL.EscapedPath()
	pathAndQuery := strings.TrimPrefix(escapedPath, "/s/")
	slash := strings.IndexByte(pathAndQuery, '/')
	if slash < 0 {
		pathAndQuery = "/"
	} else {
		pathAndQuery = pathAndQuery[slash:]
	}
	if r.URL.RawQuery != "" {
		pathAndQuery += "?" + r.URL.RawQuery
	}
	return pathAndQuery
}

// isIdempotent reports whether a request with this method may run more than once
// without an idempotency key.
func isIdempotent(method string) bool {
	switch method {
	case http.MethodDelete, http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut:
		return true
	default:
		return false
	}
}
