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
	// dialTimeout bounds the opening of a connection to a backend server, which another one can replace; the round trip between
	// zones takes a few milliseconds.
	dialTimeout = 400 * time.Millisecond
	// controlTimeout is the same for the store and other instances. Without them nothing is known, so that a handshake may take
	// as long as packets wait on a full link; it is after the system's first repetition of a lost one.
	controlTimeout = 1500 * time.Millisecond
)

// errNoHandshake means that the other side did not answer in time.
var errNoHandshake = errors.New("handshake was not answered in time")

// Dial opens a connection that notices silent partitions. Only a handshake that the other side leaves unanswered counts
// against dialTimeout. The runtime reports one that is complete late when this process is short of processor time, and a
// dialer with a timeout would then give up a sound server.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, dialTimeout)
}

func dial(ctx context.Context, network, address string, wait time.Duration) (net.Conn, error) {
	inner, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	h := &handshake{}
	timer := time.AfterFunc(wait, func() {
		if !h.complete() {
			cancel(errNoHandshake)
		}
	})
	defer timer.Stop()
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeIdle,
			Count:    probeCount,
		},
		Control: h.control,
	}
	conn, err := dialer.DialContext(inner, network, address)
	var failed *net.OpError
	if errors.As(err, &failed) && errors.Is(context.Cause(inner), errNoHandshake) {
		failed.Err = errNoHandshake
	}
	return conn, err
}

// handshake is the opening of a connection, with a socket for each address of the other side.
type handshake struct {
	mu      sync.Mutex
	sockets []syscall.RawConn
}

// control sets the options of a socket before it is connected.
func (h *handshake) control(_, _ string, c syscall.RawConn) error {
	h.mu.Lock()
	h.sockets = append(h.sockets, c)
	h.mu.Unlock()
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// complete reports whether the other side has answered.
func (h *handshake) complete() bool {
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
