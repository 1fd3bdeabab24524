package lacefleet

import (
	"slices"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// notJoined is the code of refusals before Join: the process may start before the platform is within reach.
const notJoined = lacefault.PlatformDown

// Self implements Fleet.
func (s *Service) Self() laceunit.Holder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder
}

// Record implements Fleet.
func (s *Service) Record() lacemember.Record {
	var r lacemember.Record
	s.with(func(m *lacemember.Machine) { r = m.Record() })
	return r
}

// Peers implements Fleet.
func (s *Service) Peers() []lacemember.Member {
	self := s.Self()
	return slices.DeleteFunc(slices.Clone(s.Record().Members), func(m lacemember.Member) bool { return m.Holder == self })
}

// Addresses implements Fleet: members that are not draining, those of the own availability zone first, then those of
// the own region.
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

// Reachable implements Fleet.
func (s *Service) Reachable() bool {
	ok := false
	s.with(func(m *lacemember.Machine) { ok = m.PlatformReachable() })
	return ok
}

// Mode returns what the instance may do now.
func (s *Service) Mode() lacemember.Mode {
	mode := lacemember.ModeLost
	s.with(func(m *lacemember.Machine) { mode = m.Mode(s.now()) })
	return mode
}

// Enabled reports whether the instance may run non-idempotent requests at all.
func (s *Service) Enabled() bool {
	ok := false
	s.with(func(m *lacemember.Machine) { ok = m.Enabled() })
	return ok
}

// Contacts implements Fleet.
func (s *Service) Contacts() []lacemember.Member {
	var contacts []lacemember.Member
	s.with(func(m *lacemember.Machine) { contacts = m.PeersWithPlatform(s.now()) })
	return contacts
}

// LeaseLeft returns how long the own lease certainly lasts, counted from before its last renewal was sent.
func (s *Service) LeaseRemaining() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.valid - s.now()
}

// Suspect implements Fleet.
func (s *Service) SuspectPlatform() {
	select {
	case s.suspect <- struct{}{}:
	default:
	}
}

// OnGone implements Fleet.
func (s *Service) OnRemoved(told func([]laceunit.Holder)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told = append(s.told, told)
}
