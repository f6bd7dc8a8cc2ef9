package cmd

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"savorystep/http1"
)

const (
	// maxInternalHeaderBytes limits the headers of a request from operators, peers or
	// the platform, which have a few hundred bytes.
	maxInternalHeaderBytes = 16 << 10
	// internalHeaderTimeout limits the time to read such a header.
	internalHeaderTimeout = 10 * time.Second
	// internalIdleTimeout is how long a connection of operators, peers or the platform
	// may be idle. It is above the idle timeouts of this program's clients, 90 s at most.
	internalIdleTimeout = 3 * time.Minute
)

// serveHTTP starts a server for a handler, with TLS if tlsConfig is not nil. The
// contexts of its requests derive from ctx, whose end does not stop the server.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler, tlsConfig *tls.Config) *http1.Server {
	server := http1.NewServer(http1.ServerConfig{
		BaseContext:    func(net.Listener) context.Context { return ctx },
		Handler:        handler,
		HeaderTimeout:  internalHeaderTimeout,
		IdleTimeout:    func() time.Duration { return internalIdleTimeout },
		MaxHeaderBytes: maxInternalHeaderBytes,
		TLS:            tlsConfig,
	})
	done := server.Serve(listener)
	go func() {
		if err := <-done; err != nil {
			serveLogger.Errorf("serve on %s: %v", listener.Addr(), err)
		}
	}()
	return server
}

// shutdownServers shuts servers down gracefully at the same time, and closes the
// connections that are left after the timeout.
func shutdownServers(servers []*http1.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				_ = server.Close()
			}
		})
	}
	group.Wait()
}

// ignoreServerClosed returns nil for the error of a server that was shut down, and
// other errors as they are.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ignoreCanceled returns nil for the error of a canceled context, and other errors
// as they are.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
