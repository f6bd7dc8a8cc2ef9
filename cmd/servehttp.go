package cmd

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// maxInnerHeader bounds the header of a request of operators, peers and the
// platform in bytes. Theirs have a few hundred.
const maxInnerHeader = 16 << 10

// serveHTTP serves a handler until its server is shut down.
func serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) *http.Server {
	server := &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxInnerHeader,
		ReadHeaderTimeout: 10 * time.Second,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	go func() {
		if err := ignoreClosed(server.Serve(listener)); err != nil {
			logServe.Errorf("The listener on %s failed: %v.", listener.Addr(), err)
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

// ignoreClosed drops the error of a server that was shut down.
func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// ignoreCancelled drops the error of a part that was told to end.
func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
