package laceemulator

import (
	"slices"
	"time"

	"lacewingcove/lib/laceplatform"
)

// lease is a time to live and the keys that are attached to it.
type lease struct {
	ttl      time.Duration
	deadline time.Time
	keys     map[laceplatform.Key]struct{}
}

// Grant creates a lease; ids are never reused.
func (s *State) Grant(now time.Time, ttl time.Duration) laceplatform.LeaseID {
	if s.leases == nil {
		s.leases = map[laceplatform.LeaseID]*lease{}
	}
	s.lastLease++
	l := &lease{
		ttl:      ttl,
		deadline: now.Add(ttl),
		keys:     map[laceplatform.Key]struct{}{},
	}
	s.leases[s.lastLease] = l
	if len(s.leases) == 1 || l.deadline.Before(s.nextExpiry) {
		s.nextExpiry = l.deadline
	}
	return s.lastLease
}

// Renew extends a lease by its time to live.
func (s *State) Renew(now time.Time, id laceplatform.LeaseID) (time.Duration, error) {
	l := s.leases[id]
	if l == nil {
		return 0, laceplatform.ErrLeaseNotFound
	}
	l.deadline = now.Add(l.ttl)
	return l.ttl, nil
}

// Revoke ends a lease and deletes its keys in key order.
func (s *State) Revoke(id laceplatform.LeaseID) error {
	l := s.leases[id]
	if l == nil {
		return laceplatform.ErrLeaseNotFound
	}
	delete(s.leases, id)
	keys := make([]laceplatform.Key, 0, len(l.keys))
	for k := range l.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	for _, k := range keys {
		s.removeKey(k)
	}
	return nil
}

// ExpireLeases revokes the leases whose deadline has passed and reports whether there were any.
func (s *State) ExpireLeases(now time.Time) bool {
	if len(s.leases) == 0 || now.Before(s.nextExpiry) {
		return false
	}
	var expired []laceplatform.LeaseID
	var nextExpiry time.Time
	for id, l := range s.leases {
		switch {
		case !now.Before(l.deadline):
			expired = append(expired, id)
		case nextExpiry.IsZero() || l.deadline.Before(nextExpiry):
			nextExpiry = l.deadline
		}
	}
	s.nextExpiry = nextExpiry
	slices.Sort(expired)
	for _, id := range expired {
		_ = s.Revoke(id) // It can't fail: the loop above found the lease.
	}
	return len(expired) > 0
}

// moveToLease moves a key from one lease to another; zero means no lease.
func (s *State) moveToLease(key laceplatform.Key, from, to laceplatform.LeaseID) {
	if l := s.leases[from]; l != nil {
		delete(l.keys, key)
	}
	if l := s.leases[to]; l != nil {
		l.keys[key] = struct{}{}
	}
}
