package lacebalancer

import "time"

// Reinstate undoes the failures and ejections of servers whose failures began at since or later, because the cause was
// not the servers. A probe of such a server that is under way stays one.
func (b *Balancer) Reinstate(now, since time.Time) []Decision {
	for _, s := range b.servers {
		if s.failures > 0 && !s.failingSince.Before(since) {
			s.failures, s.ejected, s.ejectionTime, s.silentSince = 0, false, 0, time.Time{}
		}
	}
	return b.Tick(now)
}
