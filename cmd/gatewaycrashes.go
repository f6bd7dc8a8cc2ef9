package cmd

import (
	"context"
	"net/http"

	"savorystep"
)

// gatewayCrashesPath is the path of the crashes of requests on the metrics listener of a
// gateway. The fingerprint of a request follows.
const gatewayCrashesPath = "/crashes/"

// serveClear clears the crashes of a request at all gateways.
func (g *gateway) serveClear(w http.ResponseWriter, r *http.Request) {
	fingerprint, err := savorystep.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.quarantine.Clear(g.clock.Now(), fingerprint)
	w.WriteHeader(http.StatusNoContent)
}

// clearGatewayCrashes lets a gateway clear the crashes of a request.
func clearGatewayCrashes(ctx context.Context, address savorystep.Address, fingerprint savorystep.Fingerprint) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, "http://"+string(address)+gatewayCrashesPath+fingerprint.String(), http.NoBody)
	if err != nil {
		return savorystep.WrapError(savorystep.KindBadRequest, err, "gateway address %q", address)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return savorystep.WrapError(savorystep.KindNotReady, err, "clear crashes of request %s at gateway %s", fingerprint, address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return savorystep.NewError(savorystep.KindNotReady, "clear crashes of request %s at gateway %s: status %d", fingerprint, address, response.StatusCode)
	}
	return nil
}
