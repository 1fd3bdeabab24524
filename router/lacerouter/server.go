package lacerouter

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

const (
	// headerTimeout ends connections that don't send their request.
	headerTimeout = 10 * time.Second
	// idleTimeout ends unused connections of callers, which keep an address only for a while.
	idleTimeout = 90 * time.Second
	// closeTimeout bounds the end of a listener after its requests have ended.
	closeTimeout = 5 * time.Second
)

// listener is an HTTP server on one address.
type listener struct {
	server *http.Server
	socket net.Listener
}

// listen opens the address at once, so that a taken port is a start error and not a log line.
func listen(ctx context.Context, address laceunit.Address, handler http.Handler) (*listener, error) {
	var config net.ListenConfig
	socket, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	return &listener{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
		socket: socket,
	}, nil
}

// Serve answers requests until Close.
func (l *listener) Serve(ctx context.Context) error {
	err := l.server.Serve(l.socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return err
}

// Close waits for the requests under way and closes the address.
func (l *listener) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := l.server.Shutdown(ctx); err != nil {
		return l.server.Close()
	}
	return nil
}
