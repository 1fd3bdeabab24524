package lacereplica

import (
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const (
	// narrowAccounts is the design scale.
	narrowAccounts = 6800
	// narrowBound is guarantee 8: a configuration is in force everywhere within it.
	narrowBound = 7 * time.Second
)

// narrowDocument returns the design scale's client accounts. Hashes of keys are as good as random, as those of real keys
// are, so that no compression makes them smaller than 32 bytes each.
func narrowDocument(version laceunit.Version, accounts int) laceconfig.Document {
	d := laceconfig.Default()
	d.Version = version
	for i := range accounts {
		a := laceconfig.Account{Name: fmt.Sprintf("Client account number %d", i)}
		for k := range 3 {
			a.Budgets = append(a.Budgets, laceunit.BudgetID(fmt.Sprintf("budget-%05d", 3*i+k)))
		}
		for k := range 2 {
			a.Keys = append(a.Keys, laceconfig.Key{
				Name: fmt.Sprint("key-", k),
				Hash: fmt.Sprintf("%x", sha256.Sum256(fmt.Append(nil, i, k))),
			})
		}
		d.Accounts[laceunit.AccountID(fmt.Sprintf("account-%04d", i))] = a
	}
	return d
}

// narrow returns instances of which all but the first are behind one link. The first is the only one that reaches the
// platform, and the only peer of the others.
func narrow(t *testing.T, p *platform, count int) (*link, []node) {
	l := newLink(t)
	var all []node
	for i := range count {
		h := laceunit.Holder{Instance: laceunit.InstanceID(rune('a' + i)), Incarnation: 1}
		n := node{
			fleet: &fleet{self: Peer{
				Holder:  h,
				Address: laceunit.Address(fmt.Sprintf("%s:80", h.Instance)),
				Region:  "r",
				Rank:    i * WatchersPerRegion,
			}},
			installed: make(chan laceconfig.Document, 1024),
		}
		var source Source = p
		if i > 0 {
			source = &platform{}
		}
		rule := laceconfig.ReplicaSettings{
			Self:         h,
			Consistency:  laceunit.ConsistencyStrict,
			MaxStaleness: 5 * time.Second,
		}
		n.Service = New(source, n.fleet, l.client(t, i > 0), rule,
			WithInstall(func(d laceconfig.Document) { n.installed <- d }),
			WithReject(func(_ laceunit.Holder, err error) { t.Error(err) }))
		_, handler := n.Handler()
		l.serve(string(n.fleet.self.Address), handler)
		all = append(all, n)
	}
	for i, n := range all {
		if i > 0 {
			n.fleet.peers = append(n.fleet.peers, all[0].fleet.self)
			all[0].fleet.peers = append(all[0].fleet.peers, n.fleet.self)
		}
		t.Cleanup(func() { _ = n.Close() })
	}
	return l, all
}

// until ticks instances once a second until one of them has a version in force, and returns how long that took.
func until(target node, v laceunit.Version, most time.Duration, all ...node) time.Duration {
	began := time.Now()
	for time.Since(began) < most {
		for _, n := range all {
			n.Tick()
		}
		second := time.After(laceconfig.TickInterval)
		for waiting := true; waiting; {
			select {
			case d := <-target.installed:
				if d.Version >= v {
					return time.Since(began)
				}
			case <-second:
				waiting = false
			}
		}
	}
	return most
}

// Guards against a new instance that asks for the whole configuration again and again because no answer of its size arrives
// within the time of a call. The link alone takes 14.5 s for the hashes of the keys.
func TestANewInstanceGetsALargeConfigurationOverANarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const most = 21 * time.Second
		p := &platform{}
		p.set(narrowDocument(1, narrowAccounts))
		l, all := narrow(t, p, 2)
		until(all[0], 1, time.Minute, all[0])
		took := until(all[1], 1, 2*time.Minute, all...)
		t.Logf("in force after %s, %d bytes received", took, l.in.sum())
		if took > most {
			t.Errorf("a configuration of %d accounts was in force after %s, more than %s", narrowAccounts, took, most)
		}
	})
}

// Guards against a change that waits for the large transfers of other instances on the same link.
func TestASmallChangePassesLargeTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			fresh    = 4
			accounts = narrowAccounts / 2
		)
		p := &platform{}
		p.set(narrowDocument(1, accounts))
		l, all := narrow(t, p, 2+fresh)
		watcher, follower := all[0], all[1]
		until(watcher, 1, time.Minute, watcher)
		// The follower takes the document that the watcher has, without the link.
		follower.do(func() []laceconfig.Effect {
			content, err := laceconfig.Split(watcher.Document())
			if err != nil {
				t.Error(err)
			}
			return follower.replica.HandleRead(follower.now(), 1, content)
		})
		for i := range 5 {
			until(all[2], 1, laceconfig.TickInterval, all...)
			d := narrowDocument(laceunit.Version(i+2), accounts)
			d.Limits.MaxQueued += i + 1
			p.set(d)
			watcher.Refresh()
			took := until(follower, d.Version, time.Minute, all...)
			t.Logf("version %d in force after %s, %d bytes received", d.Version, took, l.in.sum())
			if took > narrowBound {
				t.Errorf("a change of one entry was in force after %s, more than %s", took, narrowBound)
			}
		}
		if all[len(all)-1].Document().Version != 0 {
			t.Error("the large transfers had ended before the changes")
		}
	})
}
