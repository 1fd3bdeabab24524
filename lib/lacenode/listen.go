package lacenode

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// headerTimeout bounds the time to read the header of a request. It exceeds the limits of configurations, which
	// change while the listener runs.
	headerTimeout = 10 * time.Second
	// idleTimeout closes idle connections of callers. It exceeds the limits of configurations, so that no connection is
	// closed that a caller may still use.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the header of a request.
	maxHeaderBytes = 64 << 10
)

// listener is an HTTP server of the instance.
type listener struct {
	server *http.Server
	// done is closed when the server has stopped; serveErr is the reason.
	done     chan struct{}
	serveErr error
}

// listen starts an HTTP server on an address; the guard bounds what its clients hold, and traffic counts its bytes if it is not nil.
func (n *Node) listen(
	ctx context.Context, address laceunit.Address, handler http.Handler, guard *lacelistener.Guard,
	traffic *laceconn.Traffic,
) (*listener, error) {
	socket, err := laceconn.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, errors.Wrap(err, "node: listen")
	}
	l := &listener{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(n.log.Logr()), slog.LevelDebug),
		},
		done: make(chan struct{}),
	}
	guarded := guard.Protect(l.server, traffic.WrapListener(socket), false)
	go func() {
		defer close(l.done)
		l.serveErr = l.server.Serve(guarded)
	}()
	return l, nil
}

// Close stops the server immediately and waits until it has stopped.
func (l *listener) Close() error {
	err := l.server.Close()
	<-l.done
	if err == nil && !errors.Is(l.serveErr, http.ErrServerClosed) {
		err = l.serveErr
	}
	return err
}

// listeners are all HTTP servers of the instance.
type listeners struct {
	caller *listener
	others []*listener
}

// Close stops all servers and returns the first error.
func (l *listeners) Close() error {
	var firstErr error
	for _, x := range append([]*listener{l.caller}, l.others...) {
		if err := x.Close(); err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func (n *Node) openListeners(ctx context.Context) (*listeners, error) {
	caller, err := n.listen(ctx, n.settings.CallerAddress, n.relay, n.clientGuard, &n.monitor.dataTraffic)
	if err != nil {
		return nil, err
	}
	all := &listeners{caller: caller}
	mirror, err := lacekernel.Lookup[*replicator](n.kernel, nameReplicator)
	if err != nil {
		return nil, errors.Wrap(err, "node")
	}
	metrics := promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
	peerMux := http.NewServeMux()
	peerMux.Handle(lacewire.MirrorPathPrefix, lacewire.NewMirrorServer(mirror))
	peerMux.Handle(lacewire.LenderPathPrefix, lacewire.NewLenderServer(lenderServer{n}))
	peerMux.Handle(lacewire.BudgetWriterPathPrefix, lacewire.NewBudgetWriterServer(budgetServer{n}))
	peerMux.Handle("/metrics", metrics)
	metricsMux := http.NewServeMux()
	metricsMux.Handle("/metrics", metrics)
	for _, x := range []struct {
		address laceunit.Address
		handler http.Handler
		guard   *lacelistener.Guard
	}{
		{address: n.settings.ReadyAddress, handler: n.adapter.ReadyHandler(n.Ready), guard: n.clientGuard},
		{address: n.settings.DirectoryAddress, handler: n.adapter.DirectoryHandler(n), guard: n.clientGuard},
		{address: n.settings.PeerAddress, handler: n.relay.HandleForwarded(peerMux), guard: n.peerGuard},
		{address: n.settings.MetricsAddress, handler: metricsMux, guard: n.peerGuard},
	} {
		if x.address == "" {
			continue
		}
		l, err := n.listen(ctx, x.address, x.handler, x.guard, &n.monitor.controlTraffic)
		if err != nil {
			if closeErr := all.Close(); closeErr != nil {
				n.log.Error(closeErr, "failed to close the listeners")
			}
			return nil, err
		}
		all.others = append(all.others, l)
	}
	return all, nil
}
