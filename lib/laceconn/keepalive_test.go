package laceconn

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// longestSilence is how long the machine of a sound peer may send no packets.
	longestSilence = 1500 * time.Millisecond
	// initialRTO is the least time after which the kernel sends unacknowledged data again; it doubles each time.
	initialRTO = 200 * time.Millisecond
)

// socketOptions are the options of a connected socket that decide when a vanished peer is given up.
type socketOptions struct {
	keepAlive      KeepAlive
	userTimeout    time.Duration
	probingEnabled bool
}

func readOptions(t *testing.T, c syscall.Conn) socketOptions {
	t.Helper()
	raw, err := c.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var o socketOptions
	err = raw.Control(func(fd uintptr) {
		get := func(level, option int) time.Duration {
			n, optionErr := syscall.GetsockoptInt(int(fd), level, option)
			if optionErr != nil {
				t.Error(optionErr)
			}
			return time.Duration(n)
		}
		o.probingEnabled = get(syscall.SOL_SOCKET, syscall.SO_KEEPALIVE) != 0
		o.userTimeout = get(syscall.IPPROTO_TCP, tcpUserTimeout) * time.Millisecond
		o.keepAlive.Idle = get(syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE) * time.Second
		o.keepAlive.Interval = get(syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL) * time.Second
		o.keepAlive.Count = int(get(syscall.IPPROTO_TCP, syscall.TCP_KEEPCNT))
	})
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// probes returns when the kernel sends keep-alive probes to a vanished peer, and when it gives up, from the last packet of
// the peer on.
func (o socketOptions) probes() (sent []time.Duration, givenUp time.Duration) {
	for at := o.keepAlive.Idle; ; at += o.keepAlive.Interval {
		if n := len(sent); n > 0 && (o.userTimeout > 0 && at >= o.userTimeout || o.userTimeout == 0 && n >= o.keepAlive.Count) {
			return sent, at
		}
		sent = append(sent, at)
	}
}

// check checks that the options agree with the stated ones and that a silence of a sound peer breaks no connection.
func (o socketOptions) check(t *testing.T, name string, stated KeepAlive) {
	t.Helper()
	if !o.probingEnabled || o.keepAlive != stated {
		t.Errorf("%s: keep-alives %t, %+v; stated %+v", name, o.probingEnabled, o.keepAlive, stated)
	}
	sent, givenUp := o.probes()
	if givenUp != stated.Timeout() {
		t.Errorf("%s: an idle connection to a vanished peer is given up after %s, stated %s", name, givenUp, stated.Timeout())
	}
	if covered := sent[len(sent)-1] - sent[0]; covered <= longestSilence {
		t.Errorf("%s: a silence of %s covers all %d probes of an idle connection", name, longestSilence, len(sent))
	}
	if o.userTimeout == 0 {
		return
	}
	resent := time.Duration(0)
	for wait := initialRTO; resent <= longestSilence; wait *= 2 {
		resent += wait
	}
	if o.userTimeout <= resent {
		t.Errorf("%s: data that is lost in a silence of %s is sent again after %s, the connection is given up after %s",
			name, longestSilence, resent, o.userTimeout)
	}
}

// Guards against a TCP_USER_TIMEOUT and keep-alives that give up a vanished peer at another time than stated, or a sound one
// after one lost packet, and against defaults of libraries that change either.
func TestSocketsGiveUpVanishedPeersAsStated(t *testing.T) {
	l, err := Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	address := l.Addr().String()
	pooled := func(ctx context.Context, _, address string) (net.Conn, error) {
		c, err := NewPool(laceunit.Address(address), 0).Get(ctx)
		if err != nil {
			return nil, err
		}
		return c.net, nil
	}
	for name, x := range map[string]struct {
		dial   dialFunc
		stated KeepAlive
	}{
		"Dial":           {Dial, serverKeepAlive()},
		"Pool":           {pooled, serverKeepAlive()},
		"DialControl":    {(&Traffic{}).DialControl, serverKeepAlive()},
		"NewDialer":      {NewDialer(0).DialContext, DefaultKeepAlive()},
		"default client": {NewTransport(&http.Transport{}, 0).base.DialContext, DefaultKeepAlive()},
	} {
		c, err := x.dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		accepted, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		readOptions(t, c.(syscall.Conn)).check(t, name, x.stated)
		readOptions(t, accepted.(syscall.Conn)).check(t, "accepted connection", DefaultKeepAlive())
		c.Close()
		accepted.Close()
	}
}
