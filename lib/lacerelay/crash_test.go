package lacerelay

import (
	"context"
	"net"
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// Guards against a connection that was reset, or a server that left, being taken for a crash of the server.
func TestOnlyRefusedConnectionsOfServersInUseAreCrashes(t *testing.T) {
	balancer, err := lacebalancer.New(laceconfig.Routing{}, func(int) int { return 0 })
	if err != nil {
		t.Fatal(err)
	}
	b := NewBackends(NewPicker(balancer), lacelog.Discard(), func(laceunit.ServiceID) int { return 0 })
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	dying, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		// A process that ends closes its connections and its listener one after the other.
		if c, acceptErr := dying.Accept(); acceptErr == nil {
			dying.Close()
			c.Close()
		}
	}()
	register := func(id laceunit.ServerID, address net.Addr, leaving bool) Backend {
		return Backend{
			ID:        id,
			Service:   "model",
			Address:   laceunit.Address(address.String()),
			Slots:     4,
			Leaving:   leaving,
			StartTime: 7,
		}
	}
	b.Apply(time.Now(), []Backend{
		register("listening", listener.Addr(), false),
		register("crashed", closed.Addr(), false),
		register("leaving", closed.Addr(), true),
		register("dying", dying.Addr(), false),
	}, nil, time.Time{})
	crashed := func(x *backend) bool {
		return b.probe(context.Background(), x, time.Second) == laceconn.Refusing && b.inUse(x)
	}
	for id, want := range map[laceunit.ServerID]bool{
		"listening": false, "crashed": true, "leaving": false, "dying": true,
	} {
		x, _ := b.find(id)
		if got := crashed(x); got != want {
			t.Errorf("%s: crashed is %v", id, got)
		}
	}
	former, _ := b.find("crashed")
	gone, _ := b.find("dying")
	restarted := register("crashed", closed.Addr(), false)
	restarted.StartTime = 8
	b.Apply(time.Now(), []Backend{restarted}, []laceunit.ServerID{"dying"}, time.Time{})
	if crashed(former) {
		t.Error("the crash of a former incarnation is attributed to a later one")
	}
	if crashed(gone) {
		t.Error("a server without an entry has crashed")
	}
}
