package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
)

var errNoPage = errors.New("the load page is not available")

// maxPage bounds the size of a load page.
const maxPage = 4 << 10

// readPage reads the load page of an endpoint, on a new connection if fresh is
// set. An answer proves that its connection works.
func (p *Pool) readPage(ctx context.Context, g *group, e *endpoint, l *link, fresh bool) {
	page, used, err := p.fetchPage(ctx, l, fresh)
	now := p.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e.reading = false
	if err != nil {
		return
	}
	e.prove(used, p.base.at(now))
	e.health.RecordLoadPage(now, page, e.counted())
	g.dispatch(now)
}

// prove takes note that a connection answered. The caller holds the group's
// lock.
func (e *endpoint) prove(c *conn, at int64) {
	if c != nil && c.born >= e.proven {
		e.proven, e.provenAt = c.born, at
	}
}

// fetchPage gets the load page and the connection that it came on.
func (p *Pool) fetchPage(ctx context.Context, l *link, fresh bool) (LoadPage, *conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.LoadPageTimeout)
	defer cancel()
	var used *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.user.Store(nil)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPage))
	if err != nil {
		return LoadPage{}, nil, err
	}
	page := LoadPage{Healthy: true}
	if response.StatusCode != http.StatusOK {
		return LoadPage{}, used, errNoPage
	}
	return page, used, json.Unmarshal(data, &page)
}
