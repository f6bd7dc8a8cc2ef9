package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

var errLoadPageStatus = errors.New("the load page is not available")

// maxPage bounds the size of a load page.
const maxLoadPageBytes = 4 << 10

// readPage reads the load page of an endpoint, on a new connection if fresh is
// set. An answer proves that its connection works.
func (p *Pool) readLoadPage(ctx context.Context, g *group, e *endpoint, l *connSet, fresh bool) {
	page, used, err := p.fetchLoadPage(ctx, l, fresh)
	now := p.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e.readingLoadPage = false
	if err != nil {
		return
	}
	e.markConnVerified(used, p.base.nanosAt(now))
	e.health.RecordLoadPage(now, page, e.totalInFlight())
	g.dispatch(now)
}

// prove takes note that a connection answered. The caller holds the group's
// lock.
func (e *endpoint) markConnVerified(c *conn, at int64) {
	if c != nil && c.openedAt >= e.verifiedConnOpened {
		e.verifiedConnOpened, e.verifiedAt = c.openedAt, at
	}
}

// fetchPage gets the load page and the connection that it came on.
func (p *Pool) fetchLoadPage(ctx context.Context, l *connSet, fresh bool) (LoadPage, *conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.LoadPageTimeout)
	defer cancel()
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.guard.Store(nil)
				used = c
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(l.address)+"/load", http.NoBody)
	if err != nil {
		return LoadPage{}, nil, err
	}
	response, err := l.transport(fresh).RoundTrip(request)
	if err != nil {
		return LoadPage{}, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxLoadPageBytes))
	if err != nil {
		return LoadPage{}, nil, err
	}
	page := LoadPage{Healthy: true}
	if response.StatusCode != http.StatusOK {
		return LoadPage{}, used, errLoadPageStatus
	}
	return page, used, json.Unmarshal(data, &page)
}
