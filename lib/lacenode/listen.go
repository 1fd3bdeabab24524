package lacenode

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// headerWait bounds the reading of a request's header. It is above the limits of configurations, which change while
	// the listener runs.
	headerWait = 10 * time.Second
	// callerIdle is how long a caller's connection may rest. It is above the limits of configurations, so that no
	// connection closes that a caller may still use.
	callerIdle = 2 * time.Minute
	// headerBytes bounds the header of a request.
	headerBytes = 64 << 10
	// keepAlive finds callers that went away without a word.
	keepAlive = 5 * time.Second
)

// listener is one HTTP server of the instance.
type listener struct {
	server *http.Server
	// done is closed when the server has ended, served is why.
	done   chan struct{}
	served error
}

// listen starts a server on an address; traffic counts its bytes unless it is nil.
func (n *Node) listen(ctx context.Context, address laceunit.Address, handler http.Handler, traffic *laceconn.Traffic) (*listener, error) {
	config := net.ListenConfig{KeepAlive: keepAlive}
	socket, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return nil, errors.Wrap(err, "node: listen")
	}
	l := &listener{
		server: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: headerWait,
			IdleTimeout:       callerIdle,
			MaxHeaderBytes:    headerBytes,
			ErrorLog:          slog.NewLogLogger(logr.ToSlogHandler(n.log.Logr()), slog.LevelDebug),
		},
		done: make(chan struct{}),
	}
	go func() {
		defer close(l.done)
		l.served = l.server.Serve(traffic.WrapListener(socket))
	}()
	return l, nil
}

// Close ends the server at once and waits for it.
func (l *listener) Close() error {
	err := l.server.Close()
	<-l.done
	if err == nil && !errors.Is(l.served, http.ErrServerClosed) {
		err = l.served
	}
	return err
}

// listeners are all servers of the instance.
type listeners struct {
	caller *listener
	others []*listener
}

// Close ends all servers.
func (l *listeners) Close() error {
	var first error
	for _, x := range append([]*listener{l.caller}, l.others...) {
		if err := x.Close(); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (n *Node) open(ctx context.Context) (*listeners, error) {
	caller, err := n.listen(ctx, n.settings.CallerAddress, n.relay, &n.vitals.traffic)
	if err != nil {
		return nil, err
	}
	all := &listeners{caller: caller}
	exchange, err := lacekernel.Lookup[*exchange](n.kernel, nameExchange)
	if err != nil {
		return nil, errors.Wrap(err, "node")
	}
	metrics := promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{})
	peer := http.NewServeMux()
	peer.Handle(lacewire.MirrorPathPrefix, lacewire.NewMirrorServer(exchange))
	peer.Handle(lacewire.LenderPathPrefix, lacewire.NewLenderServer(lenderServer{n}))
	peer.Handle("/metrics", metrics)
	shown := http.NewServeMux()
	shown.Handle("/metrics", metrics)
	for _, x := range []struct {
		address laceunit.Address
		handler http.Handler
	}{
		{address: n.settings.ReadyAddress, handler: n.adapter.ReadyHandler(n.Ready)},
		{address: n.settings.DirectoryAddress, handler: n.adapter.DirectoryHandler(n)},
		{address: n.settings.PeerAddress, handler: peer},
		{address: n.settings.MetricsAddress, handler: shown},
	} {
		if x.address == "" {
			continue
		}
		l, err := n.listen(ctx, x.address, x.handler, nil)
		if err != nil {
			if closeErr := all.Close(); closeErr != nil {
				n.log.Fault(closeErr, "listeners were not closed")
			}
			return nil, err
		}
		all.others = append(all.others, l)
	}
	return all, nil
}
