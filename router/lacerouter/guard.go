package lacerouter

import (
	"runtime/debug"

	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceresource"
)

// newGuards sets up the bounds on what clients and other instances hold of the machine.
func (i *Instance) newGuards() {
	clients, peers := laceresource.ForMachine(i.settings.Machine.MemoryMB, i.settings.Machine.Descriptors)
	i.clientGuard = i.newGuard("clients", clients)
	i.peerGuard = i.newGuard("instances", peers)
}

func (i *Instance) newGuard(name string, limits laceresource.Limits) *lacelistener.Guard {
	return lacelistener.New(lacelistener.Options{
		Limits:     limits,
		Name:       name,
		OnShort:    i.logShortage,
		Registerer: i.registry,
	})
}

// logShortage logs the begin or the end of a shortage.
func (i *Instance) logShortage(s lacelistener.Shortage) {
	message := "clients hold less than they may again"
	if s.Short {
		message = "clients hold all that they may"
	}
	i.logger.Info(message, "from", s.Name, "reason", s.Reason, "bytes", s.Bytes, "connections", s.Connections,
		"closed", s.Closed, "refused", s.Refused)
}

// limitMemory makes the runtime collect garbage more often near the memory of the machine.
func (i *Instance) limitMemory() {
	if limit := laceresource.RuntimeMemory(i.settings.Machine.MemoryMB); limit > 0 {
		debug.SetMemoryLimit(limit)
	}
}
