package lacenode

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

// played is a request that runs at a server.
type played struct {
	ends   time.Time
	at     int
	ticket lacebalancer.Ticket
}

// Of the usual load, which seven instances spread over nine engines.
const (
	members = 7
	servers = 9
	slots   = 64
	seconds = 40
	rate    = 50
	stay    = 1500 * time.Millisecond
	prompts = 150
	// reuse is how long a part counts as read after its last use.
	reuse = 10 * time.Second
)

// playUsualLoad returns the part of the requests that read a shared part again and the most requests that a server had at
// once. Each instance sees its own requests and what the engines tell in their answers.
func playUsualLoad(t *testing.T, affinity bool) (again float64, most int) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	fleet := map[laceunit.ServerID]laceconfig.Server{}
	for i := range servers {
		fleet[laceunit.ServerID(fmt.Sprintf("s%d", i))] = laceconfig.Server{
			Kind:   laceconfig.KindEngine,
			Models: []laceunit.ModelID{"m"},
			Slots:  slots,
		}
	}
	now := time.Unix(1000, 0)
	var instances []*lacebalancer.Balancer
	for range members {
		b, err := newBalancer(random.IntN)
		if err != nil {
			t.Fatal(err)
		}
		b.Update(now, fleet, nil)
		instances = append(instances, b)
	}
	running := map[laceunit.ServerID][]played{}
	latest := map[uint64]time.Time{}
	held := map[uint64]map[laceunit.ServerID]bool{}
	repeats := 0
	for range seconds * rate {
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		for id, l := range running {
			running[id] = finish(instances, now, id, l)
		}
		// Some prompts are far more usual than others.
		prompt := uint64(prompts*math.Pow(random.Float64(), 1.5)) + 1
		request := lacebalancer.Request{
			Pool:    lacebalancer.ModelPool("m"),
			Account: "a",
		}
		if affinity {
			request.Prefix = prompt
		}
		at := random.IntN(members)
		d, _ := instances[at].Pick(now, request)
		if d.Verdict != lacebalancer.Assigned {
			t.Fatalf("a request was not sent: %+v", d)
		}
		if held[prompt] == nil || now.Sub(latest[prompt]) > reuse {
			held[prompt] = map[laceunit.ServerID]bool{}
		} else if !held[prompt][d.Server] {
			repeats++
		}
		held[prompt][d.Server], latest[prompt] = true, now
		running[d.Server] = append(running[d.Server], played{
			ends:   now.Add(time.Duration(float64(stay) * 2 * random.Float64())),
			at:     at,
			ticket: d.Ticket,
		})
		most = max(most, len(running[d.Server]))
	}
	return float64(repeats) / (seconds * rate), most
}

// finish ends the requests of a server that are over and returns the others.
func finish(instances []*lacebalancer.Balancer, now time.Time, id laceunit.ServerID, requests []played) []played {
	var left []played
	for _, x := range requests {
		if x.ends.After(now) {
			left = append(left, x)
			continue
		}
		instances[x.at].Report(now, id, lacebalancer.Load{
			Running: len(requests) - 1,
			Slots:   slots,
		}, 0)
		instances[x.at].Done(now, x.ticket, lacebalancer.Success, stay)
	}
	return left
}

// Guards against prompts whose shared part is read again at one server after the other although none of them is busy.
// The target is a tenth of what happens without affinity, and no server that is half full while the mean is an eighth.
func TestSharedPartsAreReadOnce(t *testing.T) {
	without, _ := playUsualLoad(t, false)
	with, most := playUsualLoad(t, true)
	t.Logf("requests that read a shared part again: %.3f without affinity, %.3f with it", without, with)
	if with > without/10 {
		t.Errorf("%.3f of the requests read a shared part again; %.3f without affinity", with, without)
	}
	if most > slots/2 {
		t.Errorf("a server had %d of %d slots taken", most, slots)
	}
}
