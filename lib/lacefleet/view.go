package lacefleet

import (
	"slices"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// notJoinedCode is the code of refusals before Join: the process may start while the platform is unreachable.
const notJoinedCode = lacefault.PlatformDown

// Self implements Fleet.
func (s *Service) Self() laceunit.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder
}

// Record implements Fleet.
func (s *Service) Record() lacemember.Record {
	var r lacemember.Record
	s.withMachine(func(m *lacemember.Machine) { r = m.Record() })
	return r
}

// Peers implements Fleet.
func (s *Service) Peers() []lacemember.Member {
	self := s.Self()
	return slices.DeleteFunc(slices.Clone(s.Record().Members), func(m lacemember.Member) bool { return m.Holder == self })
}

// Addresses implements Fleet. It returns the members that are not draining: first those in this instance's availability
// zone, then those in its region, then the others.
func (s *Service) Addresses() ([]lacemember.Member, time.Duration) {
	list := slices.DeleteFunc(slices.Clone(s.Record().Members), func(m lacemember.Member) bool { return m.Draining })
	place := s.settings.Place
	distance := func(m lacemember.Member) int {
		switch {
		case m.Place == place:
			return 0
		case m.Place.Region == place.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(list, func(a, b lacemember.Member) int { return distance(a) - distance(b) })
	return list, s.settings.AddressTTL
}

// Witnesses implements Fleet.
func (s *Service) Witnesses() []lacemember.Member {
	return s.Record().Witnesses(s.Self())
}

// PlatformReachable implements Fleet.
func (s *Service) PlatformReachable() bool {
	reachable := false
	s.withMachine(func(m *lacemember.Machine) { reachable = m.PlatformReachable() })
	return reachable
}

// Mode returns what the instance may do now; before Join it is lacemember.ModeLost.
func (s *Service) Mode() lacemember.Mode {
	mode := lacemember.ModeLost
	s.withMachine(func(m *lacemember.Machine) { mode = m.Mode(s.now()) })
	return mode
}

// Enabled implements Fleet.
func (s *Service) Enabled() bool {
	enabled := false
	s.withMachine(func(m *lacemember.Machine) { enabled = m.Enabled() })
	return enabled
}

// PeersWithPlatform implements Fleet.
func (s *Service) PeersWithPlatform() []lacemember.Member {
	var peers []lacemember.Member
	s.withMachine(func(m *lacemember.Machine) { peers = m.PeersWithPlatform(s.now()) })
	return peers
}

// LeaseRemaining returns a lower bound on the remaining time of the lease, counted from before the last successful
// renewal was sent.
func (s *Service) LeaseRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leaseExpiry - s.now()
}

// SuspectPlatform implements Fleet.
func (s *Service) SuspectPlatform() {
	select {
	case s.platformChecks <- struct{}{}:
	default:
	}
}

// OnRemoved implements Fleet.
func (s *Service) OnRemoved(callback func([]laceunit.Holder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removalCallbacks = append(s.removalCallbacks, callback)
}
