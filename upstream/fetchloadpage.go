package upstream

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

var errLoadPageStatus = errors.New("load page request returned a status other than 200")

// maxLoadPageBytes bounds the size of a load page.
const maxLoadPageBytes = 4 << 10

// readLoadPage reads the load page of an endpoint, on a new connection if
// newConn is true. A response verifies the connection on which it arrived.
func (p *Pool) readLoadPage(ctx context.Context, g *group, e *endpoint, conns *connSet, newConn bool) {
	page, usedConn, err := p.fetchLoadPage(ctx, conns, newConn)
	now := p.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	e.readingLoadPage = false
	if err != nil {
		return
	}
	e.recordResponse(usedConn, p.base.nanosAt(now), &p.limits)
	e.health.RecordLoadPage(now, page, e.totalInFlight())
	g.dispatch(now)
}

// recordResponse records that a connection returned a response at the given time. The
// caller holds the group's lock.
func (e *endpoint) recordResponse(c *conn, at int64, limits *Limits) {
	if e.probedSince != 0 {
		e.resumedAt, e.resumedLate = at, time.Duration(at-e.probedSince) >= limits.lateResponse()
		e.probedSince = 0
	}
	if c != nil && c.openedAt >= e.verifiedConnOpened {
		e.verifiedConnOpened, e.verifiedAt = c.openedAt, at
	}
}

// fetchLoadPage returns the load page of an endpoint and the connection on
// which it was read.
func (p *Pool) fetchLoadPage(ctx context.Context, conns *connSet, newConn bool) (LoadPage, *conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.limits.LoadPageTimeout)
	defer cancel()
	var usedConn *conn
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*conn); ok {
				c.guard.Store(nil)
				usedConn = c
			}
		},
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(conns.address)+"/load", http.NoBody)
	if err != nil {
		return LoadPage{}, nil, err
	}
	response, err := conns.transport(newConn).RoundTrip(request)
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
		return LoadPage{}, usedConn, errLoadPageStatus
	}
	return page, usedConn, json.Unmarshal(data, &page)
}
