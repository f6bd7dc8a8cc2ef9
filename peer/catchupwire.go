package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"savorystep"
)

// StatusesPath is the path of requests for missing statuses.
const StatusesPath = WebSocketPath + "/statuses"

// A catchUpRequest requests the statuses that the sender lacks.
type catchUpRequest struct {
	// Self is the sender's own status.
	Self catchUpStatus `cbor:"1,keyasint"`
	// Known identifies the statuses that the sender has.
	Known []summaryEntry `cbor:"2,keyasint,omitempty"`
	// latest is sent in revisionHeader, as that of a catchUpResponse.
	latest memberRevision
}

// A catchUpResponse is the response to a catchUpRequest.
type catchUpResponse struct {
	Statuses []catchUpStatus `cbor:"1,keyasint,omitempty"`
	// latest is sent in revisionHeader, since decoding is strict and older builds
	// would reject a new field.
	latest memberRevision
}

// revisionHeader is the header of a request and of a response with the greatest revision in force at
// a live member and the ID of the member, separated by a space. A status contains
// only the revision of the time at which it was published.
const revisionHeader = "Savorystep-Revision"

// A memberRevision is the revision in force at a member.
type memberRevision struct {
	revision savorystep.Revision
	instance savorystep.InstanceID
}

// String returns the value of revisionHeader.
func (m memberRevision) String() string {
	return fmt.Sprintf("%d %s", m.revision, m.instance)
}

// parseMemberRevision parses the value of revisionHeader. It returns the zero value
// if the text has another form, as that of a build without the header.
func parseMemberRevision(text string) memberRevision {
	number, id, _ := strings.Cut(text, " ")
	revision, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return memberRevision{}
	}
	return memberRevision{revision: savorystep.Revision(revision), instance: savorystep.InstanceID(id)}
}

// A catchUpStatus is the status fact of one instance.
type catchUpStatus struct {
	_        struct{} `cbor:",toarray"`
	Instance savorystep.InstanceID
	Sequence uint64
	// AgeSeconds is the time since the status was published, rounded up.
	AgeSeconds uint32
	Body       []byte
}

const (
	// catchUpTimeout limits one request.
	catchUpTimeout = time.Second
	// maxCatchUpStatuses limits the statuses of one response, which take about
	// 150 bytes each. In a larger fleet the rest comes from other peers.
	maxCatchUpStatuses = 256
	// maxCatchUpBytes limits the size of a request or a response: 12 bytes for
	// each of at most maxElements known statuses, or maxCatchUpStatuses of the
	// longest statuses.
	maxCatchUpBytes = 512 << 10
)

var (
	catchUpRequestCodec  = Codec[catchUpRequest]{Limit: maxCatchUpBytes}
	catchUpResponseCodec = Codec[catchUpResponse]{Limit: maxCatchUpBytes}
)

// fetchStatuses sends a request for statuses to a peer.
func (e *Exchange) fetchStatuses(ctx context.Context, address savorystep.Address, statuses catchUpRequest) (catchUpResponse, error) {
	var decoded catchUpResponse
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	data, err := catchUpRequestCodec.Encode(statuses)
	if err != nil {
		return decoded, err
	}
	scheme := "http"
	if e.config.TLS != nil {
		scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+string(address)+StatusesPath, bytes.NewReader(data))
	if err != nil {
		return decoded, savorystep.WrapError(savorystep.KindBadRequest, err, "create request to peer %s", address)
	}
	request.Header.Set("Authorization", peerAuthorization(e.config.Secret))
	request.Header.Set(revisionHeader, statuses.latest.String())
	response, err := e.client.Do(request)
	if err != nil {
		return decoded, savorystep.WrapError(savorystep.KindNotReady, err, "request statuses from peer %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return decoded, savorystep.NewError(savorystep.KindNotReady, "peer %s responded to request for statuses with status %d, want %d", address, response.StatusCode, http.StatusOK)
	}
	data, err = io.ReadAll(io.LimitReader(response.Body, maxCatchUpBytes+1))
	if err != nil {
		return decoded, savorystep.WrapError(savorystep.KindNotReady, err, "read statuses from peer %s", address)
	}
	decoded, err = catchUpResponseCodec.Decode(data)
	decoded.latest = parseMemberRevision(response.Header.Get(revisionHeader))
	return decoded, err
}

// serveStatuses answers a peer's request for statuses.
func (e *Exchange) serveStatuses(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(peerAuthorization(e.config.Secret))) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCatchUpBytes))
	var request catchUpRequest
	if err == nil {
		request, err = catchUpRequestCodec.Decode(data)
	}
	if err != nil {
		logger.Debugf("read request for statuses from %s: %v", r.RemoteAddr, err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	now := e.config.Clock.Now()
	e.mergeStatuses(now, []catchUpStatus{request.Self})
	e.recordForwardedRevision(now, parseMemberRevision(r.Header.Get(revisionHeader)))
	response := e.newCatchUpResponse(now, request.Known)
	response.latest = e.latestMemberRevision(now)
	e.mu.Unlock()
	data, err = catchUpResponseCodec.Encode(response)
	if err != nil {
		logger.Errorf("encode statuses: %v", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	w.Header().Set(revisionHeader, response.latest.String())
	_, _ = w.Write(data)
}
