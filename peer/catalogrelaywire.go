package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/sync/semaphore"

	"savorystep"
)

// The paths of the catalog on the peers' listener.
const (
	endpointsPath = "/catalog/endpoints"
	operatorPath  = "/catalog/orders"
)

// An endpointsResponse is a reader's response with changes of the endpoint
// list. Entries of which the follower lacks only the latest report are sent as
// reports: 420 whole entries of 150 bytes every 1.5 s exceed the byte budget
// for control traffic eight times. The fields are encoded under their Go names.
type endpointsResponse struct {
	Changes savorystep.EndpointChanges
	Reports []reportedEndpoint `cbor:",omitempty"`
}

// newEndpointsResponse returns the changes of the endpoint list after a
// version.
func newEndpointsResponse(endpoints *endpointMirror, after savorystep.CatalogVersion) endpointsResponse {
	response := endpointsResponse{Changes: endpoints.changesSince(after)}
	if response.Changes.Full {
		return response
	}
	entries := response.Changes.Endpoints
	response.Changes.Endpoints = nil
	for _, entry := range entries {
		if endpoints.entryVersions[entry.ID] <= after {
			response.Reports = append(response.Reports, reportOf(entry))
		} else {
			response.Changes.Endpoints = append(response.Changes.Endpoints, entry)
		}
	}
	return response
}

// An operatorResponse is a reader's response with changes of the operators'
// configuration. The routing is encoded as its parts. The fields are encoded
// under their Go names.
type operatorResponse struct {
	Changes  savorystep.OperatorChanges
	Revision savorystep.Revision
	Routes   []*savorystep.Route
	Services map[savorystep.Service]savorystep.ServiceSpec
	Limits   savorystep.ClientLimits
}

func newOperatorResponse(changes savorystep.OperatorChanges) operatorResponse {
	response := operatorResponse{Changes: changes}
	if routing := changes.Routing; routing != nil {
		response.Revision, response.Routes = routing.Revision, routing.Routes
		response.Services, response.Limits = routing.Services, routing.Limits
		response.Changes.Routing = nil
	}
	return response
}

// changes returns the changes with the routing rebuilt from its parts.
func (r operatorResponse) changes() (savorystep.OperatorChanges, error) {
	changes := r.Changes
	if r.Revision != 0 {
		changes.Routing = savorystep.NewRouting(r.Revision, r.Routes, r.Services, r.Limits)
	}
	return changes, nil
}

// The header of a response that says how its versions are ordered. Builds that do not
// order versions by the store's era do not send it; after the store has come back from
// a copy they may miss changes.
const (
	orderHeader = "Catalog-Order"
	orderByEra  = "era"
)

// peerAuthorization returns the Authorization header of HTTP requests between
// instances, derived from their shared secret.
func peerAuthorization(secret string) string {
	sum := sha256.Sum256([]byte("lists " + secret))
	return "Bearer " + hex.EncodeToString(sum[:])
}

// A catalogQuery requests the changes after a version.
type catalogQuery struct {
	after savorystep.CatalogVersion
	// maxWait is how long the response may wait for a change.
	maxWait time.Duration
	// allowStale is true if the response may be of any age.
	allowStale bool
	// allowRelayed is true if the response may be a recent picture that the peer has
	// got from another instance. Older builds ignore it.
	allowRelayed bool
}

// urlValues returns the query as URL parameters.
func (q catalogQuery) urlValues() url.Values {
	values := url.Values{
		"after": {strconv.FormatUint(uint64(q.after), 10)},
		"old":   {strconv.FormatBool(q.allowStale)},
		"wait":  {strconv.FormatInt(q.maxWait.Milliseconds(), 10)},
	}
	if q.allowRelayed {
		values.Set("relayed", "true")
	}
	return values
}

// parseCatalogQuery parses URL parameters. The error has kind KindBadRequest.
func parseCatalogQuery(values url.Values) (catalogQuery, error) {
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	maxWait, waitErr := strconv.ParseUint(values.Get("wait"), 10, 16)
	allowStale, staleErr := strconv.ParseBool(values.Get("old"))
	if err := errors.Join(err, waitErr, staleErr); err != nil {
		return catalogQuery{}, savorystep.WrapError(savorystep.KindBadRequest, err, "parse catalog query")
	}
	return catalogQuery{
		after: savorystep.CatalogVersion(after), maxWait: time.Duration(maxWait) * time.Millisecond, //nolint:gosec // maxWait has 16 bits.
		allowStale: allowStale, allowRelayed: values.Get("relayed") == "true",
	}, nil
}

// fetchCatalog fetches the changes after a version from a peer, and the age of its
// response. The error wraps errStale if the peer has not read the store recently or
// serves too many peers.
func fetchCatalog[T any](ctx context.Context, r *CatalogRelay, address savorystep.Address, path string, query catalogQuery) (T, responseAge, error) {
	var decoded T
	var age responseAge
	ctx, cancel := context.WithTimeout(ctx, query.maxWait+readerTimeoutMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path+"?"+query.urlValues().Encode(), http.NoBody)
	if err != nil {
		return decoded, age, savorystep.WrapError(savorystep.KindBadRequest, err, "create request to peer %s", address)
	}
	request.Header.Set("Authorization", r.authorization)
	response, err := r.client.Do(request)
	if err != nil {
		return decoded, age, savorystep.WrapError(savorystep.KindNotReady, err, "request %s from peer %s", path, address)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return decoded, age, savorystep.WrapError(savorystep.KindNotReady, err, "read response of peer %s to request for %s", address, path)
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		return decoded, age, savorystep.WrapError(savorystep.KindNotReady, errStale, "request %s from peer %s", path, address)
	}
	if response.StatusCode != http.StatusOK {
		return decoded, age, savorystep.NewError(savorystep.KindNotReady, "peer %s responded to request for %s with status %d, want %d", address, path, response.StatusCode, http.StatusOK)
	}
	if order := response.Header.Get(orderHeader); query.after != 0 && order != orderByEra {
		return decoded, age, savorystep.WrapError(savorystep.KindNotReady, errStale, "peer %s orders versions of %s by %q, want %q", address, path, order, orderByEra)
	}
	age = responseAgeOf(response.Header)
	if query.allowRelayed && !age.hasAge {
		return decoded, age, savorystep.WrapError(savorystep.KindNotReady, errStale, "peer %s does not state the age of %s", address, path)
	}
	decoded, err = Codec[T]{Limit: maxListBytes}.Decode(data)
	return decoded, age, err
}

// Handler serves the catalog, as this instance has read it, to other instances.
func (r *CatalogRelay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+endpointsPath, func(w http.ResponseWriter, request *http.Request) {
		serveCatalog(w, request, r, maxEndpointsAge, func(m *mirror, query catalogQuery) (endpointsResponse, time.Time, bool) {
			return newEndpointsResponse(&m.endpoints, query.after), m.endpoints.upToDateAt(m.endpoints.version, query), m.endpoints.version > query.after
		})
	})
	mux.HandleFunc("GET "+operatorPath, func(w http.ResponseWriter, request *http.Request) {
		serveCatalog(w, request, r, maxOperatorAge, func(m *mirror, query catalogQuery) (operatorResponse, time.Time, bool) {
			changes := m.operator.changesSince(query.after)
			hasChanges := query.after != 0 && changes.Full || changes.Routing != nil || len(changes.EvacuatedZones)+len(changes.RestoredZones) > 0
			return newOperatorResponse(changes), m.operator.upToDateAt(m.operator.version, query), hasChanges
		})
	})
	return mux
}

// A mirrorReadFunc returns the changes that a query requests, the time at which the
// mirror was last up to date, and whether there is a change. It is called with
// the mirror's mutex held.
type mirrorReadFunc[T any] func(*mirror, catalogQuery) (T, time.Time, bool)

// waitForChanges returns the changes that a query requests, and the time at which
// the mirror was last up to date, as soon as there is a change or maxWait has passed.
// It returns false as soon as the mirror was last up to date maxAge ago, or if ctx
// ends. A query that allows a stale response does not wait; it gets false if there is
// no change.
func waitForChanges[T any](ctx context.Context, r *CatalogRelay, query catalogQuery, maxAge time.Duration, readMirror mirrorReadFunc[T]) (T, time.Time, bool) {
	timer := time.NewTimer(query.maxWait)
	defer timer.Stop()
	isWaiting := query.maxWait > 0
	for {
		r.mirror.mu.Lock()
		response, upToDateAt, hasChanges := readMirror(r.mirror, query)
		changed := r.mirror.changeSignal
		r.mirror.mu.Unlock()
		if query.allowStale {
			return response, upToDateAt, hasChanges
		}
		remaining := maxAge - r.config.AgeClock.Now().Sub(upToDateAt)
		if remaining <= 0 {
			return response, upToDateAt, false
		}
		if hasChanges || !isWaiting {
			return response, upToDateAt, true
		}
		// The follower must look elsewhere as soon as the mirror is too old, so
		// its wait does not add to the age.
		expiry := time.NewTimer(remaining)
		select {
		case <-changed:
		case <-expiry.C:
		case <-timer.C:
			isWaiting = false
		case <-ctx.Done():
		}
		expiry.Stop()
		if ctx.Err() != nil {
			return response, upToDateAt, false
		}
	}
}

// acquire admits a query and returns a function that ends it. It returns false if this
// instance serves too many queries of the kind.
func (r *CatalogRelay) acquire(query catalogQuery) (release func(), ok bool) {
	var reads *semaphore.Weighted
	switch {
	case query.after == 0:
		reads = r.fullReads
	case query.allowRelayed:
		reads = r.relayedReads
	default:
		return func() {}, true
	}
	return func() { reads.Release(1) }, reads.TryAcquire(1)
}

// serveCatalog answers a query. It responds with status 503 if the mirror is
// too old.
func serveCatalog[T any](w http.ResponseWriter, request *http.Request, r *CatalogRelay, maxAge time.Duration, readMirror mirrorReadFunc[T]) {
	if subtle.ConstantTimeCompare([]byte(request.Header.Get("Authorization")), []byte(r.authorization)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	query, err := parseCatalogQuery(request.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	startedAt := r.config.AgeClock.Now()
	release, ok := r.acquire(query)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer release()
	response, upToDateAt, ok := waitForChanges(request.Context(), r, query, maxAge, readMirror)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := Codec[T]{Limit: maxListBytes}.Encode(response)
	if err != nil {
		logger.Errorf("encode response for %s: %v", request.URL.Path, err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	now := r.config.AgeClock.Now()
	responseAge{age: now.Sub(upToDateAt), held: now.Sub(startedAt)}.set(w.Header())
	w.Header().Set(orderHeader, orderByEra)
	_, _ = w.Write(data)
}
