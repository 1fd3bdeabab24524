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
	// killMargin is the time between the end of a planned stop and the kill.
	killMargin = 900 * time.Millisecond
	// idlePollInterval is the interval at which a planned stop polls for running requests, requiredIdlePolls how many
	// consecutive polls must find none: a request that has just arrived is not counted yet.
	idlePollInterval  = 20 * time.Millisecond
	requiredIdlePolls = 5
	// abortTimeout bounds the wait for the answers to requests that are aborted at the end of a planned stop.
	abortTimeout = 300 * time.Millisecond
	// releaseTimeout bounds the release of tokens and shares at the end of a planned stop.
	releaseTimeout = 300 * time.Millisecond
)

// SettingsLoader loads the settings again after a signal that they have changed.
type SettingsLoader func() (Settings, error)

// Run serves requests until it receives a stop signal or the context ends; a hangup signal reloads the settings.
func (n *Node) Run(ctx context.Context, stop, hangup <-chan os.Signal, load SettingsLoader) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	limitMemory(n.settings.Machine)
	servers, err := n.openListeners(inner)
	if err != nil {
		return err
	}
	if err := n.kernel.Register(nameListeners, servers); err != nil {
		return errors.Wrap(err, "node")
	}
	n.kernel.Start(inner)
	var bootInstant lacequota.Instant
	if n.bootClock != nil {
		bootInstant = n.bootClock()
	}
	n.log.Write(lacelog.Start, lacelog.P("boot", bootInstant.BootID),
		lacelog.P("boot_ms", bootInstant.SinceBoot.Milliseconds()),
		lacelog.P("caller", n.settings.CallerAddress), lacelog.P("zone", n.settings.Place.Zone),
		lacelog.P("store", n.settings.Store.Address))
	for {
		select {
		case <-ctx.Done():
			return n.stop(servers, time.Now())
		case <-stop:
			return n.stop(servers, time.Now())
		case <-hangup:
			n.reload(load)
		}
	}
}

// reload loads the settings again and logs whether they are valid. It applies none of them: the identity and the
// addresses of an instance change only at a restart, and nothing of an invalid file takes effect.
func (n *Node) reload(load SettingsLoader) {
	s, err := load()
	if err != nil {
		n.log.Write(lacelog.Reload, lacelog.P(lacelog.Outcome, "rejected"), lacelog.P(lacelog.Reason, err.Error()))
		return
	}
	n.log.Write(lacelog.Reload, lacelog.P(lacelog.Outcome, "read"),
		lacelog.P("grace_ms", s.Drain.GracePeriod.Milliseconds()))
}

// stop performs a planned stop: it announces the stop to callers, drains running requests and releases tokens.
func (n *Node) stop(servers *listeners, startedAt time.Time) error {
	n.draining.Store(true)
	n.directory.ExcludeSelf()
	n.relay.DisableKeepAlives()
	n.quota.Drain()
	n.log.Write(lacelog.Stop, lacelog.P("state", "draining"), lacelog.P("running", n.relay.Running()))
	end := startedAt.Add(n.settings.Drain.GracePeriod - killMargin)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := n.registrar.Deregister(ctx); err != nil {
		n.log.Error(err, "failed to deregister from the store")
	}
	lacekernel.Sleep(ctx, time.Until(startedAt.Add(n.settings.Drain.LameDuckPeriod)))
	n.relay.Stop(end)
	n.shutDownListener(ctx, servers.caller)
	releaseCtx, cancelRelease := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancelRelease()
	n.shares.Release(releaseCtx)
	if err := n.quota.Release(releaseCtx); err != nil {
		n.log.Error(err, "failed to release tokens")
	}
	n.log.Write(lacelog.Stop, lacelog.P("state", "stopped"),
		lacelog.P(lacelog.Took, time.Since(startedAt).Milliseconds()))
	return n.kernel.Close()
}

// shutDownListener waits for the running requests, aborts those that are left when the context ends, and then closes the
// listener. The shutdown of net/http alone would wait for connections that callers have opened and not used, or keep open
// without need, until its context ends.
func (n *Node) shutDownListener(ctx context.Context, l *listener) {
	shutdownDone := make(chan struct{})
	go func() {
		defer close(shutdownDone)
		if err := l.server.Shutdown(ctx); err != nil {
			n.log.Error(err, "connections were still open at the end of the planned stop",
				lacelog.P("running", n.relay.Running()))
		}
	}()
	n.awaitIdle(shutdownDone)
	if n.relay.Running() > 0 {
		n.relay.Abort()
		abortCtx, cancel := context.WithTimeout(context.Background(), abortTimeout)
		defer cancel()
		n.awaitIdle(abortCtx.Done())
	}
	if err := l.Close(); err != nil {
		n.log.Error(err, "failed to close the listener")
	}
	<-shutdownDone
}

// awaitIdle waits until no request is running, or until done is closed.
func (n *Node) awaitIdle(done <-chan struct{}) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for idlePolls := 0; idlePolls < requiredIdlePolls; {
		select {
		case <-done:
			return
		case <-ticker.C:
			idlePolls++
			if n.relay.Running() > 0 {
				idlePolls = 0
			}
		}
	}
}
