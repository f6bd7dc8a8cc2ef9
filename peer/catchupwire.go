package peer

import (
	"bytes"
	"context"
	"crypto/subtle"
	"io"
	"net/http"
	"time"

	"savorystep"
)

// StatusesPath is the path where an instance tells others the statuses that
// they lack.
const StatusesPath = WebSocketPath + "/statuses"

// A catchUpRequest asks a peer for the statuses that the sender lacks.
type catchUpRequest struct {
	// Self is the sender's own status.
	Self catchUpStatus `cbor:"1,keyasint"`
	// Known are the statuses that the sender has.
	Known []summaryEntry `cbor:"2,keyasint,omitempty"`
}

// A catchUpAnswer is the answer to a catchUpRequest.
type catchUpAnswer struct {
	Statuses []catchUpStatus `cbor:"1,keyasint,omitempty"`
}

// A catchUpStatus is the status of one instance.
type catchUpStatus struct {
	_        struct{} `cbor:",toarray"`
	Instance savorystep.InstanceID
	Sequence uint64
	// Age is the time since the status was stated, in seconds, rounded up.
	Age  uint32
	Body []byte
}

const (
	// catchUpTime bounds one request.
	catchUpTime = time.Second
	// maxCatchUp bounds the statuses of one answer, which take about 150 bytes
	// each. A larger fleet is learned from several peers.
	maxCatchUp = 256
	// maxCatchUpSize bounds a request or an answer in bytes: 12 for each known
	// status of maxElements at most, or the longest statuses.
	maxCatchUpSize = 512 << 10
)

var (
	catchUpRequests = Codec[catchUpRequest]{Limit: maxCatchUpSize}
	catchUpAnswers  = Codec[catchUpAnswer]{Limit: maxCatchUpSize}
)

// fetchStatuses sends a request to a peer.
func (e *Exchange) fetchStatuses(ctx context.Context, address savorystep.Address, body catchUpRequest) (catchUpAnswer, error) {
	var answer catchUpAnswer
	ctx, cancel := context.WithTimeout(ctx, catchUpTime)
	defer cancel()
	data, err := catchUpRequests.Encode(body)
	if err != nil {
		return answer, err
	}
	scheme := "http"
	if e.config.TLS != nil {
		scheme = "https"
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, scheme+"://"+string(address)+StatusesPath, bytes.NewReader(data))
	if err != nil {
		return answer, savorystep.WrapError(savorystep.KindBadRequest, err, "peer address %s", address)
	}
	request.Header.Set("Authorization", listSecret(e.config.Secret))
	response, err := e.client.Do(request)
	if err != nil {
		return answer, savorystep.WrapError(savorystep.KindNotReady, err, "peer %s does not answer", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, savorystep.NewError(savorystep.KindNotReady, "peer %s answered with status %d", address, response.StatusCode)
	}
	data, err = io.ReadAll(io.LimitReader(response.Body, maxCatchUpSize+1))
	if err != nil {
		return answer, savorystep.WrapError(savorystep.KindNotReady, err, "the answer of peer %s ended early", address)
	}
	return catchUpAnswers.Decode(data)
}

// serveStatuses answers the request of a peer.
func (e *Exchange) serveStatuses(w http.ResponseWriter, r *http.Request) {
	if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte(listSecret(e.config.Secret))) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxCatchUpSize))
	var request catchUpRequest
	if err == nil {
		request, err = catchUpRequests.Decode(data)
	}
	if err != nil {
		logger.Debugf("request for statuses: %v", err)
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	now := e.config.Clock.Now()
	e.learnStatuses(now, []catchUpStatus{request.Self})
	answer := e.catchUpAnswer(now, request.Known)
	e.mu.Unlock()
	data, err = catchUpAnswers.Encode(answer)
	if err != nil {
		logger.Errorf("The statuses can't be encoded: %v.", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}
