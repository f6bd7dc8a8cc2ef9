package cmd

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"savorystep"
)

// gatewayStatusPath is the path of the status on the metrics listener of a gateway.
const gatewayStatusPath = "/status"

// maxGatewayStatusBytes bounds the status that is read from a gateway. An endpoint
// takes about 150 bytes.
const maxGatewayStatusBytes = 16 << 20

// A gatewayStatus is the state of a gateway for its operators.
type gatewayStatus struct {
	Instance savorystep.InstanceID `json:"instance"`
	Ready    bool                  `json:"ready"`
	Revision savorystep.Revision   `json:"revision"`
	// Excluded are the endpoints that get no requests from this gateway now.
	Excluded []excludedEndpoint `json:"excluded"`
	// Quarantined are the requests that this gateway does not forward.
	Quarantined []quarantinedRequest `json:"quarantined"`
}

// A quarantinedRequest is a request that is not forwarded because it crashed endpoints.
type quarantinedRequest struct {
	Fingerprint string `json:"fingerprint"`
	Request     string `json:"request"`
	Crashes     int    `json:"crashes"`
	// Endpoints are those that crashed last, each with its start in Unix milliseconds.
	Endpoints []savorystep.EndpointID `json:"endpoints"`
	// LastCrashMillis is the time since the last crash.
	LastCrashMillis int64 `json:"lastCrashMillis"`
	EndsInMillis    int64 `json:"endsInMillis"`
}

// An excludedEndpoint is an endpoint that gets no requests, with the reason.
type excludedEndpoint struct {
	ID      savorystep.EndpointID `json:"id"`
	Service savorystep.Service    `json:"service"`
	Zone    savorystep.Zone       `json:"zone"`
	Reason  string                `json:"reason"`
	// EndsInMillis is the time until the exclusion ends, absent if that is not known.
	EndsInMillis *int64 `json:"endsInMillis,omitempty"`
}

// status returns the status of the gateway at a time.
func (g *gateway) status(now time.Time) gatewayStatus {
	status := gatewayStatus{Instance: g.self.ID, Ready: g.isReady(), Excluded: []excludedEndpoint{}, Quarantined: []quarantinedRequest{}}
	if routing := g.router.Routing(); routing != nil {
		status.Revision = routing.Revision
	}
	for _, e := range g.router.Excluded(now) {
		excluded := excludedEndpoint{ID: e.ID, Service: e.Service, Zone: e.Place.Zone, Reason: e.Exclusion.String()}
		if !e.Until.IsZero() {
			millis := e.Until.Sub(now).Milliseconds()
			excluded.EndsInMillis = &millis
		}
		status.Excluded = append(status.Excluded, excluded)
	}
	for _, r := range g.quarantine.Quarantined(now) {
		status.Quarantined = append(status.Quarantined, quarantinedRequest{Fingerprint: r.Fingerprint.String(), Request: r.Request, Crashes: r.Streak, Endpoints: r.Endpoints, LastCrashMillis: now.Sub(r.LastCrash).Milliseconds(), EndsInMillis: r.Until.Sub(now).Milliseconds()})
	}
	return status
}

// metricsHandler serves the status at its path and the metrics elsewhere.
func (g *gateway) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", promhttp.HandlerFor(g.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET "+gatewayStatusPath, g.serveStatus)
	mux.HandleFunc("DELETE "+gatewayCrashesPath+"{fingerprint}", g.serveClear)
	return mux
}

// serveStatus responds with the status as JSON.
func (g *gateway) serveStatus(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(g.status(g.clock.Now())); err != nil {
		gatewayLogger.Debugf("write status: %v", err)
	}
}

// fetchGatewayStatus reads the status of a gateway from its metrics listener.
func fetchGatewayStatus(ctx context.Context, address savorystep.Address) (*gatewayStatus, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+gatewayStatusPath, http.NoBody)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindBadRequest, err, "gateway address %q", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, savorystep.WrapError(savorystep.KindNotReady, err, "read status of gateway %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, savorystep.NewError(savorystep.KindNotReady, "read status of gateway %s: status %d", address, response.StatusCode)
	}
	var status gatewayStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxGatewayStatusBytes)).Decode(&status); err != nil {
		return nil, savorystep.WrapError(savorystep.KindInternal, err, "decode status of gateway %s", address)
	}
	return &status, nil
}

// printGatewayStatus prints a status as a table.
func printGatewayStatus(w io.Writer, status *gatewayStatus) {
	state := "ready"
	if !status.Ready {
		state = "not ready"
	}
	printf(w, "%s is %s, revision %d in force\n\n", status.Instance, state, status.Revision)
	printf(w, "%s\n", "SERVICE\tENDPOINT\tZONE\tREASON\tENDS IN")
	for _, e := range status.Excluded {
		ends := "-"
		if e.EndsInMillis != nil {
			ends = strconv.FormatInt(*e.EndsInMillis, 10) + " ms"
		}
		printf(w, "%s\t%s\t%s\t%s\t%s\n", e.Service, e.ID, e.Zone, e.Reason, ends)
	}
	if len(status.Quarantined) == 0 {
		return
	}
	printf(w, "%s\n", "\nQUARANTINED REQUEST\tFINGERPRINT\tCRASHES\tLAST ENDPOINTS\tLAST CRASH\tENDS IN")
	for _, r := range status.Quarantined {
		printf(w, "%s\t%s\t%d\t%v\t%d ms ago\t%d ms\n", r.Request, r.Fingerprint, r.Crashes, r.Endpoints, r.LastCrashMillis, r.EndsInMillis)
	}
}
