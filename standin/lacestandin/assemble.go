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

// assembly collects the servers of a process.
type assembly struct {
	setting *setting
	log     logr.Logger
	kernel  *lacekernel.Kernel
	listed  []laceemulator.ListEntry
	used    map[string]bool
}

// assemble registers everything that the settings name.
func assemble(s *setting, log logr.Logger) (*lacekernel.Kernel, error) {
	a := &assembly{
		setting: s,
		log:     log,
		kernel:  lacekernel.New(),
		used:    map[string]bool{},
	}
	for _, part := range []func() error{a.platform, a.weights, a.engines, a.services, a.list, a.check} {
		if err := part(); err != nil {
			_ = a.kernel.Close() // The first error says more.
			return nil, err
		}
	}
	return a.kernel, nil
}

// add registers a server and what it serves; the latter is closed after it.
func (a *assembly) add(name, address string, served any, handler http.Handler) error {
	s, err := listen(name, address, handler, a.log)
	if err != nil {
		return err
	}
	if err := a.kernel.Register(lacekernel.Name(name+" state"), served); err != nil {
		_ = s.listener.Close()
		return err
	}
	if err := a.kernel.Register(lacekernel.Name(name), s); err != nil {
		_ = s.listener.Close()
		return err
	}
	return nil
}

// seed gives each server a sequence of its own, so that one server's load does not change another's faults.
func (a *assembly) seed(name string) uint64 {
	return a.setting.Seed ^ xxhash.Sum64String(name)
}

// faults returns the faults of a server; those of a flag replace those of the file.
func (a *assembly) faults(name string, f faultSetting) laceemulator.ServerFaults {
	if extra, ok := a.setting.extra[name]; ok {
		f = extra
		a.used[name] = true
	}
	return laceemulator.ServerFaults(f)
}

// check refuses flags that name no server, which would otherwise look like a run without faults.
func (a *assembly) check() error {
	for name := range a.setting.extra {
		if !a.used[name] {
			return errors.WithMessagef(errSetting, "fault for %q, which is not the platform, an engine or a service", name)
		}
	}
	return nil
}

func (a *assembly) platform() error {
	s := a.setting.Platform
	if s == nil {
		return nil
	}
	p := laceemulator.NewPlatform(
		laceemulator.WithSeed(a.seed("platform")),
		laceemulator.WithRateLimits(rate(s.WriteRate, laceemulator.DefaultWriteRate), rate(s.ReadRate, laceemulator.DefaultReadRate)),
		laceemulator.WithHistory(s.History),
	)
	p.SetFaults(laceemulator.PlatformFaults{
		Down:     s.Faults.Down,
		Latency:  s.Faults.Latency,
		Jitter:   s.Faults.Jitter,
		LossRate: s.Faults.LossRate,
	})
	return a.add("platform", s.Address, p, p.Handler())
}

// rate maps a setting to a rate of the platform, where zero means no limit.
func rate(set, normal float64) float64 {
	switch {
	case set == 0:
		return normal
	case set < 0:
		return 0
	default:
		return set
	}
}

func (a *assembly) weights() error {
	s := a.setting.Weights
	if s == nil {
		return nil
	}
	w := laceemulator.NewWeightStore(time.Now, s.Rate, max(1, s.Burst), a.seed("weights"))
	return a.add("weights", s.Address, w, w.Handler())
}

func (a *assembly) list() error {
	s := a.setting.List
	if s == nil {
		return nil
	}
	l := laceemulator.NewInstanceList(time.Now, s.Lag, a.seed("list"), a.listed)
	return a.add("list", s.Address, l, l.Handler())
}

func (a *assembly) engines() error {
	var weights laceunit.Address
	if a.setting.Weights != nil {
		weights = laceunit.Address("http://" + a.setting.Weights.Address)
	}
	for _, g := range a.setting.Engines {
		models := make([]laceunit.ModelID, 0, len(g.Models))
		for _, m := range g.Models {
			models = append(models, laceunit.ModelID(m))
		}
		err := a.each(g.group, laceconfig.KindEngine, func(name, address string) error {
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
				Seed:            a.seed(name),
				Faults:          a.faults(name, g.Faults),
			})
			err := a.add(name, address, e, e.Handler())
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

func (a *assembly) services() error {
	for _, g := range a.setting.Services {
		err := a.each(g.group, laceconfig.KindService, func(name, address string) error {
			s := laceemulator.NewService(laceemulator.ServiceOptions{
				ServiceTime:    g.ServiceTime,
				SupportsLookup: g.SupportsLookup,
				Seed:           a.seed(name),
				Faults:         a.faults(name, g.Faults),
			})
			return a.add(name, address, s, s.Handler())
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// each starts the servers of a group and lists them as live.
func (a *assembly) each(g group, kind laceconfig.ServerKind, start func(name, address string) error) error {
	host, text, err := net.SplitHostPort(g.Address)
	if err != nil {
		return errors.Wrap(err, g.Name)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		return errors.Wrap(err, g.Name)
	}
	for i := range max(1, g.Count) {
		name := fmt.Sprintf("%s-%d", g.Name, max(1, g.First)+i)
		address := net.JoinHostPort(host, strconv.Itoa(port+i))
		if err := start(name, address); err != nil {
			return err
		}
		a.listed = append(a.listed, laceemulator.ListEntry{
			Name:    name,
			Kind:    string(kind),
			State:   laceemulator.StateLive,
			Address: laceunit.Address(address),
		})
	}
	return nil
}
