package lacenode

import (
	"runtime/debug"

	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceresource"
)

// newGuards sets up the bounds on what clients and other instances hold of the machine.
func (n *Node) newGuards() {
	clients, peers := laceresource.ForMachine(n.settings.Machine.MemoryMB, n.settings.Machine.Descriptors)
	n.clientGuard = n.newGuard("clients", clients)
	n.peerGuard = n.newGuard("instances", peers)
}

func (n *Node) newGuard(name string, limits laceresource.Limits) *lacelistener.Guard {
	return lacelistener.New(lacelistener.Options{
		Limits:     limits,
		Name:       name,
		OnShort:    n.logShortage,
		Registerer: n.registry,
	})
}

// logShortage logs the begin or the end of a shortage.
func (n *Node) logShortage(s lacelistener.Shortage) {
	state := "free"
	if s.Short {
		state = "short"
	}
	n.log.Write(lacelog.ClientShortage, lacelog.P("state", state), lacelog.P("from", s.Name),
		lacelog.P(lacelog.Reason, s.Reason), lacelog.P("bytes", s.Bytes), lacelog.P("connections", s.Connections),
		lacelog.P("closed", s.Closed), lacelog.P("refused", s.Refused))
}

// limitMemory makes the runtime collect garbage more often near the memory of the machine. The limit holds for the
// process.
func limitMemory(m Machine) {
	if limit := laceresource.RuntimeMemory(m.MemoryMB); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}
