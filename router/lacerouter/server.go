package lacerouter

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
)

const (
	// headerTimeout closes connections that don't send the headers of a request in time.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers, which cache an address only for a limited time.
	idleTimeout = 90 * time.Second
	// closeTimeout bounds the graceful shutdown of a listener, which happens after its requests have ended.
	closeTimeout = 5 * time.Second
)

// listener is an HTTP server on one address.
type listener struct {
	server *http.Server
	done   chan struct{}
}

// listen opens an address and serves it until Close. It opens the address before it returns, so that a port in use is a
// startup error and not just a log line. The guard bounds what its clients hold.
func listen(
	ctx context.Context, address laceunit.Address, handler http.Handler, config *tls.Config,
	guard *lacelistener.Guard, logger logr.Logger,
) (*listener, error) {
	socket, err := laceconn.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &listener{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			TLSConfig:         config,
			// Any client can cause one line per connection, so these lines are logged at debug level.
			ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(logger.WithValues("address", address)), slog.LevelDebug),
		},
		done: make(chan struct{}),
	}
	guarded := guard.Protect(l.server, socket, config != nil)
	go func() {
		defer close(l.done)
		if err := l.serve(guarded); !errors.Is(err, http.ErrServerClosed) {
			logger.Error(err, "listener failed", "address", address)
		}
	}()
	return l, nil
}

func (l *listener) serve(socket net.Listener) error {
	if l.server.TLSConfig != nil {
		return l.server.ServeTLS(socket, "", "")
	}
	return l.server.Serve(socket)
}

// Close closes the address and waits for requests in flight until closeTimeout, then it closes their connections.
func (l *listener) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := l.server.Shutdown(ctx)
	if err != nil {
		err = l.server.Close()
	}
	<-l.done
	return err
}
