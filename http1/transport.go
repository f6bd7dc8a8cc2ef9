package http1

import "net/http"

// A Transport fails requests whose response has no valid head and final status.
// http.Transport returns such a response, and that to a switch of protocols with a body
// which no context ends: it is the connection itself.
type Transport struct {
	http.RoundTripper
}

var _ http.RoundTripper = Transport{}

// RoundTrip implements http.RoundTripper. The connection of a response without a valid head
// is not used again.
func (t Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	err = checkHead(response)
	if err == nil {
		err = CheckFinalStatus(response.StatusCode)
	}
	if err != nil {
		_ = response.Body.Close()
		// After a response without a body the connection is idle already.
		t.CloseIdleConnections()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections.
func (t Transport) CloseIdleConnections() {
	if closer, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		closer.CloseIdleConnections()
	}
}
