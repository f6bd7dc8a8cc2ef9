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

	"savorystep"
)

// The paths on the peers' listener where a reader tells the catalog.
const (
	listPath   = "/catalog/endpoints"
	ordersPath = "/catalog/orders"
)

// A listAnswer is a reader's answer on the endpoint list. Entries of which the
// asking instance knows all but the newest report are told as reports: 420 whole
// entries of 150 bytes every 1.5 s are eight times the control budget.
type listAnswer struct {
	Changes savorystep.EndpointChanges
	Reports []reportedEndpoint `cbor:",omitempty"`
}

// newListAnswer returns the changes of a list after a version.
func newListAnswer(list *listMirror, after savorystep.CatalogVersion) listAnswer {
	answer := listAnswer{Changes: list.changesSince(after)}
	if answer.Changes.Full {
		return answer
	}
	listed := answer.Changes.Endpoints
	answer.Changes.Endpoints = nil
	for _, entry := range listed {
		if list.changed[entry.ID] <= after {
			answer.Reports = append(answer.Reports, reportOf(entry))
		} else {
			answer.Changes.Endpoints = append(answer.Changes.Endpoints, entry)
		}
	}
	return answer
}

// An ordersAnswer is a reader's answer on the orders. A routing travels as its
// parts.
type ordersAnswer struct {
	Changes  savorystep.OperatorChanges
	Revision savorystep.Revision
	Routes   []*savorystep.Route
	Services map[savorystep.Service]savorystep.ServiceSpec
	Limits   savorystep.ClientLimits
}

func newOrdersAnswer(changes savorystep.OperatorChanges) ordersAnswer {
	answer := ordersAnswer{Changes: changes}
	if routing := changes.Routing; routing != nil {
		answer.Revision, answer.Routes = routing.Revision, routing.Routes
		answer.Services, answer.Limits = routing.Services, routing.Limits
		answer.Changes.Routing = nil
	}
	return answer
}

// changes returns the changes with the routing put together.
func (a ordersAnswer) changes() (savorystep.OperatorChanges, error) {
	changes := a.Changes
	if a.Revision != 0 {
		changes.Routing = savorystep.NewRouting(a.Revision, a.Routes, a.Services, a.Limits)
	}
	return changes, nil
}

// listSecret returns the bearer token of requests between peers.
func listSecret(secret string) string {
	sum := sha256.Sum256([]byte("lists " + secret))
	return "Bearer " + hex.EncodeToString(sum[:])
}

// A catalogQuery asks for the changes after a version.
type catalogQuery struct {
	after savorystep.CatalogVersion
	// wait is how long the answer may wait for a change.
	wait time.Duration
	// old is true if the answer may be old.
	old bool
}

// values returns the query as it stands in the address.
func (q catalogQuery) values() url.Values {
	return url.Values{
		"after": {strconv.FormatUint(uint64(q.after), 10)},
		"old":   {strconv.FormatBool(q.old)},
		"wait":  {strconv.FormatInt(q.wait.Milliseconds(), 10)},
	}
}

// parseCatalogQuery reads a query.
func parseCatalogQuery(values url.Values) (catalogQuery, error) {
	after, err := strconv.ParseUint(values.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseUint(values.Get("wait"), 10, 16)
	old, oldErr := strconv.ParseBool(values.Get("old"))
	if err := errors.Join(err, waitErr, oldErr); err != nil {
		return catalogQuery{}, savorystep.WrapError(savorystep.KindBadRequest, err, "catalog query")
	}
	return catalogQuery{after: savorystep.CatalogVersion(after), wait: time.Duration(wait) * time.Millisecond, old: old}, nil //nolint:gosec // wait has 16 bits.
}

// fetchCatalog asks a peer for the changes after a version.
func fetchCatalog[T any](ctx context.Context, r *CatalogRelay, reader savorystep.Address, path string, query catalogQuery) (T, error) {
	var answer T
	ctx, cancel := context.WithTimeout(ctx, query.wait+relayMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(reader)+path+"?"+query.values().Encode(), http.NoBody)
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
	if response.StatusCode == http.StatusServiceUnavailable {
		return answer, savorystep.WrapError(savorystep.KindNotReady, errStale, "reader %s", reader)
	}
	if response.StatusCode != http.StatusOK {
		return answer, savorystep.NewError(savorystep.KindNotReady, "reader %s answered with status %d", reader, response.StatusCode)
	}
	return Codec[T]{Limit: maxList}.Decode(data)
}

// Handler tells other instances the catalog as this one read it from the
// store.
func (r *CatalogRelay) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+listPath, func(w http.ResponseWriter, request *http.Request) {
		serveCatalog(w, request, r, listFresh, func(m *mirror, after savorystep.CatalogVersion) (listAnswer, time.Time, bool) {
			return newListAnswer(&m.list, after), m.list.since(after), m.list.version > after
		})
	})
	mux.HandleFunc("GET "+ordersPath, func(w http.ResponseWriter, request *http.Request) {
		serveCatalog(w, request, r, ordersFresh, func(m *mirror, after savorystep.CatalogVersion) (ordersAnswer, time.Time, bool) {
			changes := m.orders.changesSince(after)
			isNews := changes.Routing != nil || len(changes.EvacuatedZones)+len(changes.RestoredZones) > 0
			return newOrdersAnswer(changes), m.orders.since(after), isNews
		})
	})
	return mux
}

// A sinceFunc returns the changes after a version, when they were last up to date
// and whether there is a change. It is called with the mirror's lock held.
type sinceFunc[T any] func(*mirror, savorystep.CatalogVersion) (T, time.Time, bool)

// awaitCatalog returns the changes that a query asks for, as soon as there is
// one or the wait is over. It returns false if what is known is too old.
func awaitCatalog[T any](ctx context.Context, r *CatalogRelay, query catalogQuery, fresh time.Duration, since sinceFunc[T]) (T, bool) {
	timer := time.NewTimer(query.wait)
	defer timer.Stop()
	waiting := true
	for {
		r.mirror.mu.Lock()
		answer, read, isNews := since(r.mirror, query.after)
		changed := r.mirror.changed
		r.mirror.mu.Unlock()
		if query.old {
			return answer, isNews
		}
		if r.config.Clock.Now().Sub(read) >= fresh {
			return answer, false
		}
		if isNews || !waiting {
			return answer, true
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-ctx.Done():
			return answer, false
		}
	}
}

// serveCatalog answers a query. It refuses if the store was not read lately.
func serveCatalog[T any](w http.ResponseWriter, request *http.Request, r *CatalogRelay, fresh time.Duration, since sinceFunc[T]) {
	if subtle.ConstantTimeCompare([]byte(request.Header.Get("Authorization")), []byte(r.secret)) != 1 {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	query, err := parseCatalogQuery(request.URL.Query())
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if query.after == 0 {
		if !r.starts.TryAcquire(1) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		defer r.starts.Release(1)
	}
	answer, ok := awaitCatalog(request.Context(), r, query, fresh, since)
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
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
