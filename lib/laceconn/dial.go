package laceconn

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// dialTimeout is the handshake timeout for connections to backend servers. It is short because the request can be sent
	// to another server instead; the round trip between zones takes a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// controlDialTimeout is the handshake timeout for connections to the store and to other instances. An instance depends
	// on them for its state, so that the timeout allows for the queueing delay of packets on a saturated link. It is
	// longer than the kernel's initial retransmission timeout, so that a single lost packet doesn't fail the handshake.
	controlDialTimeout = 1500 * time.Millisecond
	// maxDelayedDialTimeout is the handshake timeout for connections to backend servers while the link delays packets. A
	// handshake with another server would take as long. It is longer than the kernel's initial retransmission timeout.
	maxDelayedDialTimeout = 1500 * time.Millisecond
)

// ErrHandshakeTimeout means that the remote host did not answer the handshake in time; nothing was sent.
var ErrHandshakeTimeout = errors.Wrap(ErrNotSent, "handshake was not answered in time")

// Dial opens a connection that detects network partitions by TCP keepalive probes and TCP_USER_TIMEOUT. When
// dialTimeout expires, it fails only if the remote host has not completed the handshake. A process that is short of CPU
// time notices a completed handshake late, and a net.Dialer with a timeout would then fail for a healthy server.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, func(time.Duration) time.Duration { return dialTimeout })
}

// dial is like Dial; timeout returns the current handshake timeout, given the time since the handshake began.
func dial(
	ctx context.Context, network, address string, timeout func(elapsed time.Duration) time.Duration,
) (net.Conn, error) {
	dialCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &handshake{}
	started := time.Now()
	var timer *time.Timer
	armed := make(chan struct{})
	timer = time.AfterFunc(timeout(0), func() {
		<-armed
		if dialCtx.Err() != nil {
			return
		}
		elapsed := time.Since(started)
		if rest := timeout(elapsed) - elapsed; rest > 0 {
			timer.Reset(rest)
		} else if !h.isComplete() {
			cancel(ErrHandshakeTimeout)
		}
	})
	close(armed)
	defer timer.Stop()
	dialer := &net.Dialer{
		KeepAliveConfig: serverKeepAlive().config(),
		Control:         h.setOptions,
	}
	conn, err := dialer.DialContext(dialCtx, network, address)
	var opErr *net.OpError
	if errors.As(err, &opErr) && errors.Is(context.Cause(dialCtx), ErrHandshakeTimeout) {
		opErr.Err = ErrHandshakeTimeout
	}
	return conn, err
}

// handshake is the TCP handshake of one dial; it has a socket for each address of the remote host that was tried.
type handshake struct {
	mu      sync.Mutex
	sockets []syscall.RawConn
}

// setOptions sets the options of a socket before it is connected; it is the Control function of a net.Dialer.
func (h *handshake) setOptions(_, _ string, c syscall.RawConn) error {
	h.mu.Lock()
	h.sockets = append(h.sockets, c)
	h.mu.Unlock()
	return serverKeepAlive().setUserTimeout(c)
}

// isComplete reports whether the remote host has completed the handshake on any of the sockets.
func (h *handshake) isComplete() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.sockets {
		connected := false
		err := c.Control(func(fd uintptr) {
			_, peerErr := syscall.Getpeername(int(fd))
			connected = peerErr == nil
		})
		if err == nil && connected {
			return true
		}
	}
	return false
}
