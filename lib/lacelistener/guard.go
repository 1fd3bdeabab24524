package lacelistener

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"

	"lacewingcove/lib/laceresource"
)

// ErrShort means that clients hold all memory that they may hold.
var ErrShort = errors.New("listener: clients hold all memory")

const (
	// chargeWait bounds how long a request waits for memory that others return. A closed connection returns its memory
	// within milliseconds, unless the processor is busy.
	chargeWait = time.Second
	// calmTime is how long nobody must have been refused or closed until the shortage is over, so that a log has at most
	// one line in that time for each change.
	calmTime = 5 * time.Second
)

// Options configure a guard.
type Options struct {
	Limits laceresource.Limits
	// Name distinguishes the guards of a process in metrics and logs.
	Name string
	// OnShort is called when the first client is refused or closed, and after the shortage; nil means no call.
	OnShort func(s Shortage)
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// Registerer registers the metrics; nil means none.
	Registerer prometheus.Registerer
}

// Shortage is the state of a guard at the begin or the end of a shortage.
type Shortage struct {
	Name string
	// Short is true at the begin.
	Short bool
	// Reason is what is short.
	Reason      string
	Bytes       int64
	Connections int
	// Closed and Refused count the connections and requests during the shortage that has ended.
	Closed, Refused int
}

// Guard bounds what the clients of some listeners hold together.
type Guard struct {
	options Options
	metrics *metrics

	mu     sync.Mutex
	budget *laceresource.Budget
	conns  map[*laceresource.Holder]*conn
	// released is closed when memory is returned; nil if nobody waits.
	released chan struct{}
	// shortAt is when a client was last refused or closed; zero means that there is no shortage.
	shortAt         time.Time
	closed, refused int
}

// New returns a guard.
func New(options Options) *Guard {
	if options.Now == nil {
		options.Now = time.Now
	}
	g := &Guard{
		options: options,
		budget:  laceresource.NewBudget(options.Limits),
		conns:   map[*laceresource.Holder]*conn{},
	}
	g.metrics = newMetrics(options, g.usage)
	return g
}

// usage returns what clients hold.
func (g *Guard) usage() (bytes int64, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Bytes(), g.budget.Connections()
}

// Protect returns the listener for a server and changes the server so that the guard bounds what its clients hold. With
// TLS on top of the listener, the lines of heads can't be counted and are estimated.
func (g *Guard) Protect(server *http.Server, l net.Listener, withTLS bool) net.Listener {
	server.ConnContext = connContext
	server.ConnState = trackState
	server.Handler = g.handler(server.Handler)
	return &listener{
		Listener: l,
		guard:    g,
		opaque:   withTLS,
	}
}

// charge waits until a holder may hold more memory, at most for chargeWait.
func (g *Guard) charge(h *laceresource.Holder, bytes int64, reason string) error {
	verdict, released := g.tryCharge(h, bytes, reason, true)
	if verdict == laceresource.Wait {
		timer := time.NewTimer(chargeWait)
		defer timer.Stop()
		for verdict == laceresource.Wait {
			select {
			case <-released:
				verdict, released = g.tryCharge(h, bytes, reason, false)
			case <-timer.C:
				verdict = laceresource.Refused
			}
		}
		g.mu.Lock()
		if c := g.conns[h]; c != nil {
			c.waiting--
		}
		g.mu.Unlock()
	}
	if verdict == laceresource.Refused {
		return g.refuse(reason)
	}
	return nil
}

// tryCharge charges a holder if it may hold more memory now. A holder that has to wait counts as waiting after the
// first try; the channel is closed when it should try again.
func (g *Guard) tryCharge(
	h *laceresource.Holder, bytes int64, reason string, first bool,
) (laceresource.Verdict, <-chan struct{}) {
	now := g.options.Now()
	g.mu.Lock()
	verdict, victims := g.budget.Charge(now, h, bytes)
	if verdict == laceresource.Granted {
		g.mu.Unlock()
		return verdict, nil
	}
	notices := g.recordShortage(now, reason, len(victims), 0)
	closers := g.detach(victims)
	if verdict == laceresource.Wait && g.released == nil {
		g.released = make(chan struct{})
	}
	if c := g.conns[h]; c != nil && first && verdict == laceresource.Wait {
		c.waiting++
	}
	released := g.released
	g.mu.Unlock()
	g.notify(notices)
	closeAll(closers)
	return verdict, released
}

// refuse counts a refused request.
func (g *Guard) refuse(reason string) error {
	g.mu.Lock()
	notices := g.recordShortage(g.options.Now(), reason, 0, 1)
	g.mu.Unlock()
	g.notify(notices)
	return ErrShort
}

// wakeLocked lets the requests that wait for memory ask again.
func (g *Guard) wakeLocked() {
	if g.released != nil {
		close(g.released)
		g.released = nil
	}
}

func (g *Guard) release(h *laceresource.Holder, bytes int64) {
	if bytes == 0 {
		return
	}
	g.mu.Lock()
	g.budget.Release(h, bytes)
	g.wakeLocked()
	g.mu.Unlock()
}

// detach returns the connections of holders that have to be closed. Requests that wait for memory are woken and refused
// instead, so that their callers learn that they have not run.
func (g *Guard) detach(holders []*laceresource.Holder) []*conn {
	var conns []*conn
	for _, h := range holders {
		c := g.conns[h]
		switch {
		case c == nil:
		case c.waiting > 0:
			g.wakeLocked()
		default:
			conns = append(conns, c)
		}
	}
	return conns
}

// closeAll closes the network connections of clients; their server then closes the connection and returns its memory.
func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.Conn.Close() // Fails only if the connection is closed.
	}
}

// recordShortage counts closed connections and refused requests, and returns the changes of state to report.
func (g *Guard) recordShortage(now time.Time, reason string, closed, refused int) []Shortage {
	notices := g.endShortage(now)
	if closed == 0 && refused == 0 {
		return notices
	}
	g.metrics.count(reason, closed, refused)
	g.closed += closed
	g.refused += refused
	if g.shortAt.IsZero() {
		notices = append(notices, g.shortage(true, reason))
	}
	g.shortAt = now
	return notices
}

// endShortage returns the end of a shortage if one has ended.
func (g *Guard) endShortage(now time.Time) []Shortage {
	if g.shortAt.IsZero() || now.Sub(g.shortAt) < calmTime {
		return nil
	}
	s := g.shortage(false, "")
	g.shortAt, g.closed, g.refused = time.Time{}, 0, 0
	return []Shortage{s}
}

func (g *Guard) shortage(short bool, reason string) Shortage {
	return Shortage{
		Name:        g.options.Name,
		Short:       short,
		Reason:      reason,
		Bytes:       g.budget.Bytes(),
		Connections: g.budget.Connections(),
		Closed:      g.closed,
		Refused:     g.refused,
	}
}

func (g *Guard) notify(notices []Shortage) {
	if g.options.OnShort == nil {
		return
	}
	for _, s := range notices {
		g.options.OnShort(s)
	}
}
