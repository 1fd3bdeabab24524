package laceresource

import (
	"math/rand/v2"
	"testing"
	"time"
)

const testSeed = 11

func testTime() time.Time { return time.Unix(1_000_000, 0) }

// Guards against memory or connections that are not returned on some way to the end of a connection, which would refuse
// everybody in the end, and against a budget that exceeds its limits: random holders open, charge, run, change their
// owner, are closed by decision or by themselves, and release in any order.
func TestBudgetIsWholeAgain(t *testing.T) {
	limits, _ := ForMachine(20, 400)
	r := rand.New(rand.NewPCG(testSeed, testSeed))
	b, now := NewBudget(limits), testTime()
	type client struct {
		holder  *Holder
		charged int64
	}
	var clients []*client
	end := func(i int) {
		c := clients[i]
		clients[i] = clients[len(clients)-1]
		clients = clients[:len(clients)-1]
		if r.IntN(2) == 0 {
			b.Release(c.holder, c.charged)
			b.Close(c.holder)
		} else {
			b.Close(c.holder)
			b.Release(c.holder, c.charged)
		}
		b.Close(c.holder)
	}
	closed, refused := 0, 0
	for range 20_000 {
		now = now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		owner := Owner(rune('a' + r.IntN(5)))
		if len(clients) == 0 || r.IntN(3) == 0 {
			if h, victims, ok := b.Open(now, owner); ok {
				clients = append(clients, &client{holder: h})
				closed += len(victims)
			}
			continue
		}
		i := r.IntN(len(clients))
		c := clients[i]
		switch r.IntN(8) {
		case 0:
			end(i)
		case 1:
			b.Run(c.holder)
			b.Settle(now, c.holder)
		case 2:
			b.Assign(c.holder, owner)
		case 3:
			b.Progress(now, c.holder)
		default:
			n := r.Int64N(1 << 18)
			switch v, victims := b.Charge(now, c.holder, n); v {
			case Granted:
				c.charged += n
			case Refused:
				refused++
			default:
				closed += len(victims)
			}
		}
		// Holders that are chosen to be closed end at once, as their connections do.
		for i := len(clients) - 1; i >= 0; i-- {
			if clients[i].holder.closing {
				end(i)
			}
		}
		if b.Bytes() > limits.Bytes || b.Connections() > limits.Connections {
			t.Fatalf("%d bytes and %d connections, limits %+v", b.Bytes(), b.Connections(), limits)
		}
	}
	for len(clients) > 0 {
		end(0)
	}
	if b.Bytes() != 0 || b.Connections() != 0 || len(b.owners) != 0 || b.closing != 0 || b.closingBytes != 0 {
		t.Errorf("still held: %d bytes, %d connections, %d owners, %d closing, seed %d", b.Bytes(), b.Connections(),
			len(b.owners), b.closing, testSeed)
	}
	if closed == 0 || refused == 0 {
		t.Errorf("%d closed and %d refused: the test is too easy", closed, refused)
	}
}

// Guards against ordinary requests that find no memory beside large ones: large holders may not fill the rest, and an
// idle one is closed for an active one rather than the reverse.
func TestOrdinaryRequestsFindMemory(t *testing.T) {
	limits, _ := ForMachine(144, 3075)
	b, now := NewBudget(limits), testTime()
	const large = 4 << 20
	var holders []*Holder
	for {
		h, _, _ := b.Open(now, "many")
		if v, _ := b.Charge(now, h, large); v != Granted {
			break
		}
		holders = append(holders, h)
	}
	now = now.Add(time.Second)
	for _, h := range holders[1:] {
		b.Progress(now, h)
	}
	h, victims, ok := b.Open(now, "one")
	if !ok || len(victims) > 0 {
		t.Fatalf("a new connection is refused beside %d large requests", len(holders))
	}
	if v, _ := b.Charge(now, h, limits.OrdinaryBytes); v != Granted {
		t.Errorf("an ordinary request is not served beside %d large ones", len(holders))
	}
	if v, victims := b.Charge(now, h, large); v != Wait || len(victims) != 1 || victims[0] != holders[0] {
		t.Errorf("a large request: verdict %d, %d closed; the idle one should be", v, len(victims))
	}
	if v, _ := b.Charge(now, holders[0], 1); v != Refused {
		t.Error("a holder that is being closed gets more")
	}
	for _, h := range holders {
		b.Run(h)
	}
	if v, _ := b.Charge(now, h, 3*large); v != Refused {
		t.Error("requests that may be running were closed")
	}
}

// Guards against an address with most of the connections that closes those of others, and against connections that are
// never closed although they are idle.
func TestConnectionsAreDividedByOwner(t *testing.T) {
	limits := Limits{Connections: 40}
	b, now := NewBudget(limits), testTime()
	ordinary, _, _ := b.Open(now, "ordinary")
	now = now.Add(time.Minute)
	for range 39 {
		b.Open(now, "many")
		now = now.Add(time.Millisecond)
	}
	for range 200 {
		_, victims, ok := b.Open(now, "many")
		if !ok || len(victims) != 1 || victims[0] == ordinary {
			t.Fatalf("%d closed, an ordinary one: %t", len(victims), len(victims) == 1 && victims[0] == ordinary)
		}
		b.Close(victims[0])
		now = now.Add(time.Millisecond)
	}
	if h, victims, ok := b.Open(now, "other"); !ok || len(victims) != 1 || h == nil {
		t.Error("another address finds no connection")
	}
}

// Guards against limits that refuse all, or bound what is not known.
func TestForMachine(t *testing.T) {
	if clients, peers := ForMachine(0, 0); clients != (Limits{}) || peers != (Limits{}) || RuntimeMemory(0) != 0 {
		t.Errorf("unknown machine: %+v, %+v", clients, peers)
	}
	for _, c := range []struct {
		megabytes   float64
		descriptors int
		connections int
	}{
		{144, 3075, 1205}, {184, 3075, 1437}, {144, 600, 200}, {144, 0, 1205}, {0, 3075, 1437}, {1, 1, minConnections},
	} {
		l, p := ForMachine(c.megabytes, c.descriptors)
		if l.Connections != c.connections || p.Connections < minConnections {
			t.Errorf("%+v: %+v, %+v", c, l, p)
		}
		if memory := int64(c.megabytes * bytesPerMegabyte); l.Bytes+p.Bytes >= RuntimeMemory(c.megabytes) && memory > 0 ||
			c.descriptors > 600 && l.Connections+p.Connections > c.descriptors-reservedDescriptors {
			t.Errorf("%+v: %+v and %+v don't leave enough for the process", c, l, p)
		}
	}
}

// Guards against a panic, and against memory that is not returned, when a response is charged whose client has left: its
// owner holds nothing any more.
func TestDetachedHolderOutlivesItsOwner(t *testing.T) {
	b, now := NewBudget(Limits{
		Bytes:      3 * ConnectionBytes,
		LargeBytes: 3 * ConnectionBytes,
	}), testTime()
	gone, _, _ := b.Open(now, "gone")
	detached := b.Detach(now, gone.Owner())
	b.Close(gone)
	idle, _, _ := b.Open(now, "idle")
	if verdict, _ := b.Charge(now, idle, ConnectionBytes); verdict != Granted {
		t.Fatalf("verdict %v with room", verdict)
	}
	now = now.Add(time.Minute)
	verdict, victims := b.Charge(now, detached, 2*ConnectionBytes)
	if verdict != Wait || len(victims) != 1 || victims[0] != idle {
		t.Errorf("verdict %v, %d victims", verdict, len(victims))
	}
	b.Release(idle, ConnectionBytes)
	b.Close(idle)
	if verdict, _ = b.Charge(now, detached, 2*ConnectionBytes); verdict != Granted {
		t.Errorf("verdict %v after the idle connection was closed", verdict)
	}
	b.Release(detached, 2*ConnectionBytes)
	if b.Bytes() != 0 || b.Connections() != 0 || len(b.owners) != 0 {
		t.Errorf("%d bytes, %d connections, %d owners are left", b.Bytes(), b.Connections(), len(b.owners))
	}
}
