package lacenode

import (
	"context"
	"time"

	"lacewingcove/lib/lacerelay"
)

// newReach sets up the observation of whether backend servers are reachable, and the instances that get requests while
// none is.
func (n *Node) newReach() {
	n.peers = lacerelay.NewPeers(n.directory.ForwardingTargets, &n.monitor.dataTraffic)
	n.reach = lacerelay.NewReach(lacerelay.ReachOptions{
		Backends:  n.backends,
		Picker:    n.picker,
		Peers:     n.peers,
		Saturated: func() bool { return n.link.Saturated(time.Now()) },
		OnChange:  n.setIsolated,
		Log:       n.log,
		Metrics:   lacerelay.NewReachMetrics(n.registry),
	})
}

// setIsolated publishes to callers and other instances whether this instance reaches the backend servers.
func (n *Node) setIsolated(ctx context.Context, isolated bool) {
	n.directory.SetIsolated(isolated)
	n.quota.SetIsolated(isolated)
	n.registrar.SetIsolated(isolated)
	n.registrar.Renew(ctx)
}
