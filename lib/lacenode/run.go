package lacenode

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacequota"
)

const (
	// exitMargin is left between the end of a planned stop and the kill.
	exitMargin = 900 * time.Millisecond
	// finishStep is how often a planned stop looks for running requests, finishSteps how many looks in a row have to find
	// none: a request that has just arrived is not counted yet.
	finishStep  = 20 * time.Millisecond
	finishSteps = 5
	// releaseTimeout bounds the return of tokens at the end of a planned stop.
	releaseTimeout = 300 * time.Millisecond
)

// Reload is called for a signal that the settings have changed.
type SettingsLoader func() (Settings, error)

// Run serves until a signal asks for a stop; hangup announces new settings.
func (n *Node) Run(ctx context.Context, stop, hangup <-chan os.Signal, reload SettingsLoader) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	all, err := n.open(inner)
	if err != nil {
		return err
	}
	if err := n.kernel.Register(nameListeners, all); err != nil {
		return errors.Wrap(err, "node")
	}
	n.kernel.Start(inner)
	var machine lacequota.Instant
	if n.clock != nil {
		machine = n.clock()
	}
	n.log.Write(lacelog.Start, lacelog.P("boot", machine.BootID), lacelog.P("boot_ms", machine.SinceBoot.Milliseconds()), lacelog.P("caller", n.settings.CallerAddress), lacelog.P("zone", n.settings.Place.Zone),
		lacelog.P("store", n.settings.Store.Address))
	for {
		select {
		case <-ctx.Done():
			return n.stop(all, time.Now())
		case <-stop:
			return n.stop(all, time.Now())
		case <-hangup:
			n.reload(reload)
		}
	}
}

// reload reads the settings again. What names the instance and its addresses needs a restart, so that nothing of an
// unreadable file takes effect.
func (n *Node) reload(load SettingsLoader) {
	s, err := load()
	if err != nil {
		n.log.Write(lacelog.Reload, lacelog.P(lacelog.Outcome, "rejected"), lacelog.P(lacelog.Reason, err.Error()))
		return
	}
	n.log.Write(lacelog.Reload, lacelog.P(lacelog.Outcome, "read"), lacelog.P("grace_ms", s.Drain.GracePeriod.Milliseconds()))
}

// stop ends a planned stop: callers are told to go elsewhere, running requests end, tokens are given back.
func (n *Node) stop(all *listeners, began time.Time) error {
	n.leaving.Store(true)
	n.board.ExcludeSelf()
	n.relay.DisableKeepAlives()
	n.quota.Drain()
	n.log.Write(lacelog.Stop, lacelog.P("state", "draining"), lacelog.P("running", n.relay.Running()))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(n.settings.Drain.GracePeriod-exitMargin))
	defer cancel()
	if err := n.registrar.Deregister(ctx); err != nil {
		n.log.Fault(err, "membership was not withdrawn")
	}
	lacekernel.Sleep(ctx, time.Until(began.Add(n.settings.Drain.LameDuckPeriod)))
	n.relay.Stop()
	n.finish(ctx, all.caller)
	final, done := context.WithTimeout(context.Background(), releaseTimeout)
	defer done()
	n.limits.Release(final)
	if err := n.quota.Release(final); err != nil {
		n.log.Fault(err, "tokens were not given back")
	}
	n.log.Write(lacelog.Stop, lacelog.P("state", "stopped"), lacelog.P(lacelog.Took, time.Since(began).Milliseconds()))
	return n.kernel.Close()
}

// finish waits for the running requests and ends the listener. Connections that callers have opened and not used, or keep
// without need, would hold up the server's own shutdown for as long as it may take.
func (n *Node) finish(ctx context.Context, l *listener) {
	shut := make(chan struct{})
	go func() {
		defer close(shut)
		if err := l.server.Shutdown(ctx); err != nil {
			n.log.Fault(err, "connections were still open at the end of a stop", lacelog.P("running", n.relay.Running()))
		}
	}()
	ticker := time.NewTicker(finishStep)
	defer ticker.Stop()
	quiet := 0
	for quiet < finishSteps {
		select {
		case <-shut:
			quiet = finishSteps
		case <-ticker.C:
			quiet++
			if n.relay.Running() > 0 {
				quiet = 0
			}
		}
	}
	if err := l.Close(); err != nil {
		n.log.Fault(err, "listener was not closed")
	}
	<-shut
}
