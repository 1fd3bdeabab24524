package lacestandin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
)

const (
	// headerTimeout bounds how long a client may take to send the request header after it connects.
	headerTimeout = 5 * time.Second
	// idleTimeout bounds how long an idle keep-alive connection is kept open.
	idleTimeout = time.Minute
	// stopTimeout bounds the wait for responses in progress when the process stops.
	stopTimeout = time.Second
)

// server is an HTTP server on one address.
type server struct {
	name     string
	log      logr.Logger
	listener net.Listener
	http     *http.Server
}

// listen binds the address immediately, so that a port in use is reported before any server runs.
func listen(name, address string, handler http.Handler, log logr.Logger) (*server, error) {
	var c net.ListenConfig
	l, err := c.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, name)
	}
	return &server{
		name:     name,
		log:      log,
		listener: l,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
		},
	}, nil
}

// Serve implements lacekernel.Runner.
func (s *server) Serve(context.Context) error {
	s.log.Info("listening", "server", s.name, "address", s.listener.Addr().String())
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return suture.ErrDoNotRestart
	}
	return errors.Wrap(err, s.name)
}

// Close implements lacekernel.Closer.
func (s *server) Close() error {
	// The HTTP server closes the listener only if Serve has been called.
	defer func() { _ = s.listener.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		// Close aborts endless responses such as watches and streams.
		return s.http.Close()
	}
	return nil
}
