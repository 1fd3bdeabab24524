package laceconn

import (
	"context"
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, for which package syscall has no constant.
const tcpUserTimeout = 18

// KeepAlive configures how a connection to a peer that has vanished is given up. Linux gives up keep-alive probes by
// TCP_USER_TIMEOUT if that is set, and by their number otherwise, so that both have to agree.
type KeepAlive struct {
	// Idle is the time without packets after which the first probe is sent, Interval that between two probes.
	Idle     time.Duration
	Interval time.Duration
	// Count is the number of unanswered probes after which the connection is given up.
	Count int
}

// serverKeepAlive applies to the connections that are opened by Dial. A connection on which a packet was lost during a
// silence of 1.5 s gets another one before it is given up: data is sent again 3 s after it was first sent.
func serverKeepAlive() KeepAlive {
	return KeepAlive{
		Idle:     time.Second,
		Interval: time.Second,
		Count:    3,
	}
}

// DefaultKeepAlive applies to accepted connections, and to those of clients whose calls have timeouts of their own.
func DefaultKeepAlive() KeepAlive {
	return KeepAlive{
		Idle:     5 * time.Second,
		Interval: 5 * time.Second,
		Count:    3,
	}
}

// Timeout returns how long a connection to a vanished peer lasts after its last packet.
func (k KeepAlive) Timeout() time.Duration { return k.Idle + time.Duration(k.Count)*k.Interval }

func (k KeepAlive) config() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     k.Idle,
		Interval: k.Interval,
		Count:    k.Count,
	}
}

// setUserTimeout sets how long sent data may stay unacknowledged before the connection is given up.
func (k KeepAlive) setUserTimeout(c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(k.Timeout().Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// NewDialer returns a dialer with DefaultKeepAlive; zero means no timeout.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: DefaultKeepAlive().config(),
	}
}

// Listen opens a listener whose connections have DefaultKeepAlive. They have no TCP_USER_TIMEOUT, which would also end
// those to a client that reads nothing for a time.
func Listen(ctx context.Context, network, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: DefaultKeepAlive().config()}
	return config.Listen(ctx, network, address)
}
