package lacestandin

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/laceunit"
)

// assembler creates the servers of a process.
type assembler struct {
	settings      *settings
	log           logr.Logger
	kernel        *lacekernel.Kernel
	listEntries   []laceemulator.ListEntry
	usedOverrides map[string]bool
}

// assemble creates and registers all servers in the settings.
func assemble(s *settings, log logr.Logger) (*lacekernel.Kernel, error) {
	a := &assembler{
		settings:      s,
		log:           log,
		kernel:        lacekernel.New(),
		usedOverrides: map[string]bool{},
	}
	for _, step := range []func() error{
		a.addPlatform, a.addWeightStore, a.addEngines, a.addServices, a.addInstanceList, a.checkFaultOverrides,
	} {
		if err := step(); err != nil {
			_ = a.kernel.Close() // The first error says more.
			return nil, err
		}
	}
	return a.kernel, nil
}

// register registers a server and the emulated service behind it. The service is registered first, so that it is closed
// after the server.
func (a *assembler) register(name, address string, service any, handler http.Handler) error {
	s, err := listen(name, address, handler, a.log)
	if err != nil {
		return err
	}
	if err := a.kernel.Register(lacekernel.Name(name+" state"), service); err != nil {
		_ = s.listener.Close()
		return err
	}
	if err := a.kernel.Register(lacekernel.Name(name), s); err != nil {
		_ = s.listener.Close()
		return err
	}
	return nil
}

// serverSeed derives a separate seed for each server, so that the load on one server does not affect the faults of
// another.
func (a *assembler) serverSeed(name string) uint64 {
	return a.settings.Seed ^ xxhash.Sum64String(name)
}

// serverFaults returns the faults of a server; faults set by a flag replace those of the settings file.
func (a *assembler) serverFaults(name string, f faultSettings) laceemulator.ServerFaults {
	if override, ok := a.settings.faultOverrides[name]; ok {
		f = override
		a.usedOverrides[name] = true
	}
	return laceemulator.ServerFaults(f)
}

// checkFaultOverrides rejects fault flags for unknown servers, which would otherwise silently run without faults.
func (a *assembler) checkFaultOverrides() error {
	for name := range a.settings.faultOverrides {
		if !a.usedOverrides[name] {
			return errors.WithMessagef(
				errInvalidSettings, "fault for unknown server %q; must be the platform, an engine or a service", name,
			)
		}
	}
	return nil
}

func (a *assembler) addPlatform() error {
	s := a.settings.Platform
	if s == nil {
		return nil
	}
	p := laceemulator.NewPlatform(
		laceemulator.WithSeed(a.serverSeed("platform")),
		laceemulator.WithRateLimits(
			rateLimit(s.WriteRate, laceemulator.DefaultWriteRate), rateLimit(s.ReadRate, laceemulator.DefaultReadRate),
		),
		laceemulator.WithHistory(s.History),
	)
	p.SetFaults(laceemulator.PlatformFaults{
		Down:     s.Faults.Down,
		Latency:  s.Faults.Latency,
		Jitter:   s.Faults.Jitter,
		LossRate: s.Faults.LossRate,
	})
	return a.register("platform", s.Address, p, p.Handler())
}

// rateLimit converts a rate in the settings to that of the platform emulator, where zero means unlimited.
func rateLimit(configured, defaultRate float64) float64 {
	switch {
	case configured == 0:
		return defaultRate
	case configured < 0:
		return 0
	default:
		return configured
	}
}

func (a *assembler) addWeightStore() error {
	s := a.settings.Weights
	if s == nil {
		return nil
	}
	w := laceemulator.NewWeightStore(time.Now, s.Rate, max(1, s.Burst), a.serverSeed("weights"))
	return a.register("weights", s.Address, w, w.Handler())
}

func (a *assembler) addInstanceList() error {
	s := a.settings.List
	if s == nil {
		return nil
	}
	l := laceemulator.NewInstanceList(time.Now, s.Lag, a.serverSeed("list"), a.listEntries)
	return a.register("list", s.Address, l, l.Handler())
}

func (a *assembler) addEngines() error {
	var weights laceunit.Address
	if a.settings.Weights != nil {
		weights = laceunit.Address("http://" + a.settings.Weights.Address)
	}
	for _, g := range a.settings.Engines {
		models := make([]laceunit.ModelID, 0, len(g.Models))
		for _, m := range g.Models {
			models = append(models, laceunit.ModelID(m))
		}
		err := a.addGroup(g.serverGroup, laceconfig.KindEngine, func(name, address string) error {
			e := laceemulator.NewEngine(laceemulator.EngineOptions{
				Models:          models,
				Slots:           g.Slots,
				TokenInterval:   g.TokenInterval,
				PrefillRate:     g.PrefillRate,
				CacheTokens:     laceunit.Tokens(g.CacheTokens),
				LoadReportLag:   g.LoadReportLag,
				EventLag:        g.EventLag,
				EventLossRate:   g.EventLossRate,
				EnforcesFencing: g.EnforcesFencing,
				WeightStore:     weights,
				Seed:            a.serverSeed(name),
				Faults:          a.serverFaults(name, g.Faults),
			})
			err := a.register(name, address, e, e.Handler())
			if err != nil {
				_ = e.Close() // The first error says more.
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (a *assembler) addServices() error {
	for _, g := range a.settings.Services {
		err := a.addGroup(g.serverGroup, laceconfig.KindService, func(name, address string) error {
			s := laceemulator.NewService(laceemulator.ServiceOptions{
				ServiceTime:    g.ServiceTime,
				SupportsLookup: g.SupportsLookup,
				Seed:           a.serverSeed(name),
				Faults:         a.serverFaults(name, g.Faults),
			})
			return a.register(name, address, s, s.Handler())
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// addGroup starts the servers of a group and adds them to the instance list as live.
func (a *assembler) addGroup(
	g serverGroup, kind laceconfig.ServerKind, startServer func(name, address string) error,
) error {
	host, portText, err := net.SplitHostPort(g.Address)
	if err != nil {
		return errors.Wrap(err, g.Name)
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return errors.Wrap(err, g.Name)
	}
	for i := range max(1, g.Count) {
		name := fmt.Sprintf("%s-%d", g.Name, max(1, g.First)+i)
		address := net.JoinHostPort(host, strconv.Itoa(port+i))
		if err := startServer(name, address); err != nil {
			return err
		}
		a.listEntries = append(a.listEntries, laceemulator.ListEntry{
			Name:    name,
			Kind:    string(kind),
			State:   laceemulator.StateLive,
			Address: laceunit.Address(address),
		})
	}
	return nil
}
