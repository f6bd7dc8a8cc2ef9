package cmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// maxInternalHeaderBytes limits the headers of a request from operators, peers or
// the platform, which have a few hundred bytes.
const maxInternalHeaderBytes = 16 << 10

// serveHTTP starts a server for a handler. The contexts of its requests derive
// from ctx, whose end does not stop the server.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxInternalHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() {
		if err := ignoreServerClosed(server.Serve(listener)); err != nil {
			serveLogger.Errorf("serve on %s: %v", listener.Addr(), err)
		}
	}()
	return server
}

// shutdownServer shuts a server down gracefully, and closes its connections after
// shutdownTimeout.
func shutdownServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
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
