package cmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// maxInternalHeaderBytes bounds the header of a request of operators, peers and the
// platform in bytes. Theirs have a few hundred.
const maxInternalHeaderBytes = 16 << 10

// serveHTTP serves a handler until its server is shut down.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxInternalHeaderBytes,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() {
		if err := ignoreServerClosed(server.Serve(listener)); err != nil {
			serveLogger.Errorf("The listener on %s failed: %v.", listener.Addr(), err)
		}
	}()
	return server
}

// shutdownServer ends a server, by force after a short time.
func shutdownServer(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		_ = server.Close()
	}
}

// ignoreServerClosed drops the error of a server that was shut down.
func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ignoreCanceled drops the error of a part that was told to end.
func ignoreCanceled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
