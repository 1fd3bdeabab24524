package lacerelay

import (
	"context"
	"net"
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
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
	}, nil, time.Time{})
	for id, want := range map[laceunit.ServerID]bool{"listening": false, "crashed": true, "leaving": false, "gone": false} {
		if got := b.hasCrashed(context.Background(), id, 7); got != want {
			t.Errorf("%s: crashed is %v", id, got)
		}
	}
	if b.hasCrashed(context.Background(), "crashed", 8) {
		t.Error("the crash is attributed to a later incarnation")
	}
}
