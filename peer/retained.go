package peer

import (
	"context"
	"crypto/subtle"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"savorystep"
)

// RetainedPath is the path of what an instance retains on the peers' listener. Builds
// that do not know it respond with status 404.
const RetainedPath = "/catalog/retained"

const (
	// maxRetainedStates is the number of peers whose state an instance uses. Each of
	// those that ran before the store came back has what was in force.
	maxRetainedStates = 3
	// maxRetainedPeers bounds the number of peers that it asks.
	maxRetainedPeers = 8
	// retainedTimeout is how long it looks for peers. A starting instance learns of
	// nearly all others within 2 s.
	retainedTimeout = 3 * time.Second
	// retainedPollInterval is the time between two looks for peers that are not known.
	retainedPollInterval = 100 * time.Millisecond
)

var _ savorystep.RetainedStates = &CatalogRelay{}

// A retainedResponse is a retained state with its routing encoded as its parts. The
// fields are encoded under their Go names.
type retainedResponse struct {
	Operator  operatorResponse
	Remaining time.Duration
	IsSettled bool
	Gone      []savorystep.GoneEndpoint
}

func newRetainedResponse(state savorystep.RetainedState) retainedResponse {
	changes := savorystep.OperatorChanges{Routing: state.Routing, EvacuatedZones: state.EvacuatedZones}
	return retainedResponse{Operator: newOperatorResponse(changes), Remaining: state.Remaining, IsSettled: state.IsSettled, Gone: state.Gone}
}

// state returns the state with the routing rebuilt from its parts.
func (r retainedResponse) state() (savorystep.RetainedState, error) {
	changes, err := r.Operator.changes()
	return savorystep.RetainedState{Remaining: r.Remaining, IsSettled: r.IsSettled, Routing: changes.Routing, EvacuatedZones: changes.EvacuatedZones, Gone: r.Gone}, err
}

// RetainedStates asks some ready peers, those of the region first, what they retain.
func (r *CatalogRelay) RetainedStates(ctx context.Context, query savorystep.RetainedQuery, apply func(savorystep.RetainedState)) {
	asked := make(map[savorystep.InstanceID]bool)
	started := r.config.Clock.Now()
	for states := 0; ctx.Err() == nil && states < maxRetainedStates && len(asked) < maxRetainedPeers; {
		now := r.config.Clock.Now()
		if now.Sub(started) >= retainedTimeout {
			return
		}
		peer, ok := r.nextRetainedPeer(now, asked)
		if !ok {
			savorystep.Sleep(ctx, retainedPollInterval)
			continue
		}
		asked[peer.ID] = true
		state, err := r.fetchRetained(ctx, peer.PeerAddress, query)
		if err != nil {
			logger.Debugf("read what peer %s retains: %v", peer.ID, err)
			continue
		}
		states++
		apply(state)
	}
}

// nextRetainedPeer returns a random ready peer that was not asked, of the region if it
// has one.
func (r *CatalogRelay) nextRetainedPeer(now time.Time, asked map[savorystep.InstanceID]bool) (savorystep.Instance, bool) {
	self := r.config.Members.Self()
	var near, far []savorystep.Instance
	for _, m := range r.config.Members.Members(now) {
		switch {
		case !m.Ready || m.Leaving || asked[m.Instance.ID] || m.Instance.ID == self.ID:
		case m.Instance.Place.Region == self.Place.Region:
			near = append(near, m.Instance)
		default:
			far = append(far, m.Instance)
		}
	}
	peers := near
	if len(peers) == 0 {
		peers = far
	}
	if len(peers) == 0 {
		return savorystep.Instance{}, false
	}
	return peers[rand.IntN(len(peers))], true //nolint:gosec // The choice needs no secrecy.
}

// fetchRetained asks a peer what it retains.
func (r *CatalogRelay) fetchRetained(ctx context.Context, address savorystep.Address, query savorystep.RetainedQuery) (savorystep.RetainedState, error) {
	var zero savorystep.RetainedState
	ctx, cancel := context.WithTimeout(ctx, readerTimeoutMargin)
	defer cancel()
	values := url.Values{"era": {strconv.FormatUint(uint64(query.Era), 10)}, "revision": {strconv.FormatUint(uint64(query.Revision), 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+RetainedPath+"?"+values.Encode(), http.NoBody)
	if err != nil {
		return zero, savorystep.WrapError(savorystep.KindBadRequest, err, "create request to peer %s", address)
	}
	request.Header.Set("Authorization", r.authorization)
	response, err := r.client.Do(request)
	if err != nil {
		return zero, savorystep.WrapError(savorystep.KindNotReady, err, "request %s from peer %s", RetainedPath, address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return zero, savorystep.WrapError(savorystep.KindNotReady, err, "read response of peer %s to request for %s", address, RetainedPath)
	}
	if response.StatusCode != http.StatusOK {
		return zero, savorystep.NewError(savorystep.KindNotReady, "peer %s responded to request for %s with status %d, want %d", address, RetainedPath, response.StatusCode, http.StatusOK)
	}
	decoded, err := Codec[retainedResponse]{Limit: maxListBytes}.Decode(data)
	if err != nil {
		return zero, err
	}
	return decoded.state()
}

// RetainedHandler serves what a source retains to other instances.
func (r *CatalogRelay) RetainedHandler(source savorystep.RetainedSource) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if subtle.ConstantTimeCompare([]byte(request.Header.Get("Authorization")), []byte(r.authorization)) != 1 {
			w.WriteHeader(http.StatusUnauthorized)
			return
		}
		query, err := parseRetainedQuery(request.URL.Query())
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		data, err := Codec[retainedResponse]{Limit: maxListBytes}.Encode(newRetainedResponse(source.RetainedState(r.config.Clock.Now(), query)))
		if err != nil {
			logger.Errorf("encode response for %s: %v", request.URL.Path, err)
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/cbor")
		_, _ = w.Write(data)
	})
}

// parseRetainedQuery parses URL parameters. The error has kind KindBadRequest.
func parseRetainedQuery(values url.Values) (savorystep.RetainedQuery, error) {
	era, err := strconv.ParseUint(values.Get("era"), 10, savorystep.StoreEraBits)
	if err != nil {
		return savorystep.RetainedQuery{}, savorystep.WrapError(savorystep.KindBadRequest, err, "parse era of retained query")
	}
	revision, err := strconv.ParseUint(values.Get("revision"), 10, 64)
	if err != nil {
		return savorystep.RetainedQuery{}, savorystep.WrapError(savorystep.KindBadRequest, err, "parse revision of retained query")
	}
	return savorystep.RetainedQuery{Era: savorystep.StoreEra(era), Revision: savorystep.Revision(revision)}, nil
}
