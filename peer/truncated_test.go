package peer_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"savorystep"
)

// A truncatingHandler passes requests to another handler and sends the first bytes of its
// responses, without a length, before it closes the connection.
type truncatingHandler struct {
	t    *testing.T
	next http.Handler
	// size is the number of bytes of the body that are sent.
	size int
	// fullSize is the size of the last whole body.
	fullSize int
}

func (h *truncatingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	recorder := httptest.NewRecorder()
	h.next.ServeHTTP(recorder, r)
	body := recorder.Body.Bytes()
	h.fullSize = len(body)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		h.t.Error(err)
		return
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\n", recorder.Code)
	_ = recorder.Header().Write(conn)
	_, _ = fmt.Fprintf(conn, "\r\n%s", body[:min(h.size, len(body))])
	_ = conn.Close()
}

// TestTruncatedEndpointList guards against a part of a peer's endpoint list that is taken
// for the whole one: its response has no length, and the connection ends within it.
func TestTruncatedEndpointList(t *testing.T) {
	registry := &fakeRegistry{}
	first, _ := newCache(t, registry, "secret")
	if _, err := first.Endpoints(t.Context()); err != nil {
		t.Fatal(err)
	}
	registry.isDown = true
	h := &truncatingHandler{t: t, next: first}
	server := httptest.NewServer(h)
	defer server.Close()
	isComplete := false
	for h.size = 0; !isComplete; h.size++ {
		second, _ := newCache(t, registry, "secret", savorystep.Address(strings.TrimPrefix(server.URL, "http://")))
		list, err := second.Endpoints(t.Context())
		isComplete = h.size == h.fullSize
		if (err == nil) != isComplete {
			t.Fatalf("%d of %d bytes: list %v, error %v, want success %t", h.size, h.fullSize, list, err, isComplete)
		}
	}
}

// TestTruncatedCatalog guards against a part of a reader's picture of the catalog that is
// taken for the whole one.
func TestTruncatedCatalog(t *testing.T) {
	r := newRelayPair(t)
	r.readAll(t)
	h := &truncatingHandler{t: t, next: r.reader.Handler()}
	r.serveReader(h)
	isComplete := false
	for h.size = 0; !isComplete; h.size++ {
		readsBefore := r.catalog.reads
		if _, err := r.follower.EndpointChanges(t.Context(), 3, 0); err != nil {
			t.Fatal(err)
		}
		isComplete = h.size == h.fullSize
		if isFromStore := r.catalog.reads > readsBefore; isFromStore == isComplete {
			t.Fatalf("%d of %d bytes: read from the store %t, want %t", h.size, h.fullSize, isFromStore, !isComplete)
		}
	}
}
