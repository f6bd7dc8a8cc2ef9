package peer

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"savorystep"
)

// The paths on the peers' listener where a reader tells the catalog.
const (
	listPath   = "/catalog/endpoints"
	ordersPath = "/catalog/orders"
)

// A listAnswer is a reader's answer on the endpoint list.
type listAnswer struct {
	Changes savorystep.EndpointChanges
}

// An ordersAnswer is a reader's answer on the orders. A routing travels as its
// parts.
type ordersAnswer struct {
	Changes  savorystep.OrderChanges
	Revision savorystep.Revision
	Routes   []*savorystep.Route
	Services map[savorystep.Service]savorystep.ServiceSpec
	Limits   savorystep.ClientLimits
}

func newOrdersAnswer(changes savorystep.OrderChanges) ordersAnswer {
	answer := ordersAnswer{Changes: changes}
	if routing := changes.Routing; routing != nil {
		answer.Revision, answer.Routes = routing.Revision, routing.Routes
		answer.Services, answer.Limits = routing.Services, routing.Limits
		answer.Changes.Routing = nil
	}
	return answer
}

// changes returns the changes with the routing put together.
func (a ordersAnswer) changes() savorystep.OrderChanges {
	changes := a.Changes
	if a.Revision != 0 {
		changes.Routing = savorystep.NewRouting(a.Revision, a.Routes, a.Services, a.Limits)
	}
	return changes
}

// listSecret returns the bearer token of requests between peers.
func listSecret(secret string) string {
	sum := sha256.Sum256([]byte("lists " + secret))
	return "Bearer " + hex.EncodeToString(sum[:])
}

// fetchCatalog asks a reader for the changes after a version. It waits up to
// the given time for one.
func fetchCatalog[T any](ctx context.Context, r *Relay, reader savorystep.Address, path string, after savorystep.CatalogVersion, wait time.Duration) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, wait+relayMargin)
	defer cancel()
	query := url.Values{
		"after": {strconv.FormatUint(uint64(after), 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(reader)+path+"?"+query.Encode(), http.NoBody)
	if err != nil {
		return answer, savorystep.WrapError(savorystep.KindBadRequest, err, "peer address %s", reader)
	}
	request.Header.Set("Authorization", r.secret)
	response, err := r.client.Do(request)
	if err != nil {
		return answer, savorystep.WrapError(savorystep.KindNotReady, err, "reader %s does not answer", reader)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxList+1))
	if err != nil {
		return answer, savorystep.WrapError(savorystep.KindNotReady, err, "the answer of reader %s ended early", reader)
	}
	if response.StatusCode != http.StatusOK {
		return answer, savorystep.NewError(savorystep.KindNotReady, "reader %s answered with status %d", reader, response.StatusCode)
	}
	return Codec[T]{Limit: maxList}.Decode(data)
}

// Handler tells other instances the catalog as this one read it from the
// store.
func (r *Relay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, request *http.Request) {
		serveCatalog(w, request, r, listFresh, func(m *mirror, after savorystep.CatalogVersion) (listAnswer, time.Time, bool) {
			return listAnswer{Changes: m.list.since(after)}, m.list.read, m.list.version > after
		})
	})
	mux.HandleFunc("GET "+ordersPath, func(w http.ResponseWriter, request *http.Request) {
		serveCatalog(w, request, r, ordersFresh, func(m *mirror, after savorystep.CatalogVersion) (ordersAnswer, time.Time, bool) {
			changes := m.orders.since(after)
			isNews := changes.Routing != nil || len(changes.Evacuated)+len(changes.Returned) > 0
			return newOrdersAnswer(changes), m.orders.read, isNews
		})
	})
	return mux
}

// serveCatalog answers with the changes after a version, as soon as there is
// one or the wait is over. It refuses if the store was not read lately.
func serveCatalog[T any](w http.ResponseWriter, request *http.Request, r *Relay, fresh time.Duration, since func(*mirror, savorystep.CatalogVersion) (T, time.Time, bool)) {
	if subtle.ConstantTimeCompare([]byte(request.Header.Get("Authorization")), []byte(r.secret)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	after, err := strconv.ParseUint(request.URL.Query().Get("after"), 10, 64)
	wait, waitErr := strconv.ParseUint(request.URL.Query().Get("wait"), 10, 16)
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond) //nolint:gosec // It has 16 bits.
	defer timer.Stop()
	var answer T
	for waiting := true; waiting; {
		r.mirror.mu.Lock()
		var read time.Time
		var isNews bool
		answer, read, isNews = since(r.mirror, savorystep.CatalogVersion(after))
		changed := r.mirror.changed
		r.mirror.mu.Unlock()
		if r.config.Clock.Now().Sub(read) >= fresh {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if isNews {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-request.Context().Done():
			return
		}
	}
	data, err := Codec[T]{Limit: maxList}.Encode(answer)
	if err != nil {
		logger.Errorf("The catalog can't be encoded: %v.", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}
