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
	// designAccounts is the number of client accounts at the design scale.
	designAccounts = 6800
	// maxPropagation is guarantee 8: the time within which a configuration is in force on every instance.
	maxPropagation = 7 * time.Second
)

// designDocument returns a document with client accounts as at the design scale. Like those of real keys, the key
// hashes are effectively random, so that no compression makes them smaller than 32 bytes each.
func designDocument(version laceunit.Version, accounts int) laceconfig.Document {
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

// startBehindLink returns instances of which all but the first are behind one shared link. Only the first can reach the
// platform, and it is the only peer of the others.
func startBehindLink(t *testing.T, p *fakeSource, count int) (*sharedLink, []node) {
	l := newSharedLink(t)
	var all []node
	for i := range count {
		h := laceunit.Holder{Instance: laceunit.InstanceID(rune('a' + i)), Incarnation: 1}
		n := node{
			membership: &fakeMembership{self: Peer{
				Holder:  h,
				Address: laceunit.Address(fmt.Sprintf("%s:80", h.Instance)),
				Region:  "r",
				Rank:    i * WatchersPerRegion,
			}},
			installed: make(chan laceconfig.Document, 1024),
		}
		var source Source = p
		if i > 0 {
			source = &fakeSource{}
		}
		settings := laceconfig.ReplicaSettings{
			Self:         h,
			Consistency:  laceunit.ConsistencyStrict,
			MaxStaleness: 5 * time.Second,
		}
		n.Service = New(source, n.membership, l.client(t, i > 0), settings,
			WithInstall(func(d laceconfig.Document) { n.installed <- d }),
			WithReject(func(_ laceunit.Holder, err error) { t.Error(err) }))
		_, handler := n.Handler()
		l.serve(string(n.membership.self.Address), handler)
		all = append(all, n)
	}
	for i, n := range all {
		if i > 0 {
			n.membership.peers = append(n.membership.peers, all[0].membership.self)
			all[0].membership.peers = append(all[0].membership.peers, n.membership.self)
		}
		t.Cleanup(func() { _ = n.Close() })
	}
	return l, all
}

// tickUntil ticks instances once a second until the target has a version in force, and returns how long that took.
func tickUntil(target node, v laceunit.Version, timeout time.Duration, all ...node) time.Duration {
	start := time.Now()
	for time.Since(start) < timeout {
		for _, n := range all {
			n.Tick()
		}
		nextTick := time.After(laceconfig.TickInterval)
		for waiting := true; waiting; {
			select {
			case d := <-target.installed:
				if d.Version >= v {
					return time.Since(start)
				}
			case <-nextTick:
				waiting = false
			}
		}
	}
	return timeout
}

// Guards against a new instance that requests the whole configuration again and again because no reply of that size
// arrives within the timeout of a call. The key hashes alone take 14.5 s on the link.
func TestNewInstanceLoadsLargeConfigurationOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 21 * time.Second
		p := &fakeSource{}
		p.set(designDocument(1, designAccounts))
		l, all := startBehindLink(t, p, 2)
		tickUntil(all[0], 1, time.Minute, all[0])
		took := tickUntil(all[1], 1, 2*time.Minute, all...)
		t.Logf("in force after %s, %d bytes received", took, l.in.total())
		if took > limit {
			t.Errorf("a configuration of %d accounts was in force after %s, more than %s", designAccounts, took, limit)
		}
	})
}

// Guards against a change that is delayed by the large transfers of other instances on the same link.
func TestSmallChangeIsNotBlockedByLargeTransfers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			newInstances = 4
			accounts     = designAccounts / 2
		)
		p := &fakeSource{}
		p.set(designDocument(1, accounts))
		l, all := startBehindLink(t, p, 2+newInstances)
		watcher, follower := all[0], all[1]
		tickUntil(watcher, 1, time.Minute, watcher)
		// The follower installs the watcher's document without using the link.
		follower.update(func() []laceconfig.Effect {
			content, err := laceconfig.Split(watcher.Document())
			if err != nil {
				t.Error(err)
			}
			return follower.replica.HandleRead(follower.now(), 1, content)
		})
		for i := range 5 {
			tickUntil(all[2], 1, laceconfig.TickInterval, all...)
			d := designDocument(laceunit.Version(i+2), accounts)
			d.Limits.MaxQueued += i + 1
			p.set(d)
			watcher.Refresh()
			took := tickUntil(follower, d.Version, time.Minute, all...)
			t.Logf("version %d in force after %s, %d bytes received", d.Version, took, l.in.total())
			if took > maxPropagation {
				t.Errorf("a change of one entry was in force after %s, more than %s", took, maxPropagation)
			}
		}
		if all[len(all)-1].Document().Version != 0 {
			t.Error("the large transfers ended before the changes")
		}
	})
}
