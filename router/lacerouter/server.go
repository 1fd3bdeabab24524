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
	ended  chan struct{}
}

// listen opens an address and serves it until Close; a taken port is a start error and not a log line.
func listen(ctx context.Context, address laceunit.Address, handler http.Handler, config *tls.Config, logger logr.Logger) (*listener, error) {
	var opener net.ListenConfig
	socket, err := opener.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	l := &listener{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			TLSConfig:         config,
			// Anybody can cause a line for each connection, so these lines are for debugging only.
			ErrorLog: slog.NewLogLogger(logr.ToSlogHandler(logger.WithValues("address", address)), slog.LevelDebug),
		},
		ended: make(chan struct{}),
	}
	go func() {
		defer close(l.ended)
		if err := l.serve(socket); !errors.Is(err, http.ErrServerClosed) {
			logger.Error(err, "listener ended", "address", address)
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

// Close waits for the requests under way and closes the address.
func (l *listener) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := l.server.Shutdown(ctx)
	if err != nil {
		err = l.server.Close()
	}
	<-l.ended
	return err
}
