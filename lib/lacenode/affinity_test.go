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

// simulatedRequest is a request that is running at a server.
type simulatedRequest struct {
	endsAt   time.Time
	instance int
	ticket   lacebalancer.Ticket
}

// Parameters of the typical load, which seven instances balance over nine engines.
const (
	instanceCount    = 7
	serverCount      = 9
	slotsPerServer   = 64
	simulatedSeconds = 40
	requestRate      = 50
	meanServiceTime  = 1500 * time.Millisecond
	promptCount      = 150
	// cacheTTL is how long a prompt prefix stays in the cache of a server after its last use.
	cacheTTL = 10 * time.Second
)

// simulateTypicalLoad returns the fraction of the requests that compute a shared prefix again, and the maximum number
// of concurrent requests at a server. Each instance knows only its own requests and the load reports in responses.
func simulateTypicalLoad(t *testing.T, affinity bool) (recomputed float64, maxRunning int) {
	t.Helper()
	random := rand.New(rand.NewPCG(7, 7))
	fleet := map[laceunit.ServerID]laceconfig.Server{}
	for i := range serverCount {
		fleet[laceunit.ServerID(fmt.Sprintf("s%d", i))] = laceconfig.Server{
			Kind:   laceconfig.KindEngine,
			Models: []laceunit.ModelID{"m"},
			Slots:  slotsPerServer,
		}
	}
	now := time.Unix(1000, 0)
	var instances []*lacebalancer.Balancer
	for range instanceCount {
		b, err := newBalancer(random.IntN)
		if err != nil {
			t.Fatal(err)
		}
		b.Update(now, fleet, nil)
		instances = append(instances, b)
	}
	running := map[laceunit.ServerID][]simulatedRequest{}
	lastUsed := map[uint64]time.Time{}
	cachedOn := map[uint64]map[laceunit.ServerID]bool{}
	recomputations := 0
	for range simulatedSeconds * requestRate {
		now = now.Add(time.Duration(random.ExpFloat64() / requestRate * float64(time.Second)))
		for id, l := range running {
			running[id] = endRequests(instances, now, id, l)
		}
		// Some prompts are far more frequent than others.
		prompt := uint64(promptCount*math.Pow(random.Float64(), 1.5)) + 1
		request := lacebalancer.Request{
			Pool:    lacebalancer.ModelPool("m"),
			Account: "a",
		}
		if affinity {
			request.Prefix = prompt
		}
		instance := random.IntN(instanceCount)
		d, _ := instances[instance].Pick(now, request)
		if d.Verdict != lacebalancer.Assigned {
			t.Fatalf("a request was not assigned: %+v", d)
		}
		if cachedOn[prompt] == nil || now.Sub(lastUsed[prompt]) > cacheTTL {
			cachedOn[prompt] = map[laceunit.ServerID]bool{}
		} else if !cachedOn[prompt][d.Server] {
			recomputations++
		}
		cachedOn[prompt][d.Server], lastUsed[prompt] = true, now
		running[d.Server] = append(running[d.Server], simulatedRequest{
			endsAt:   now.Add(time.Duration(float64(meanServiceTime) * 2 * random.Float64())),
			instance: instance,
			ticket:   d.Ticket,
		})
		maxRunning = max(maxRunning, len(running[d.Server]))
	}
	return float64(recomputations) / (simulatedSeconds * requestRate), maxRunning
}

// endRequests ends the requests of a server that are complete and returns the others.
func endRequests(
	instances []*lacebalancer.Balancer, now time.Time, id laceunit.ServerID, requests []simulatedRequest,
) []simulatedRequest {
	var remaining []simulatedRequest
	for _, x := range requests {
		if x.endsAt.After(now) {
			remaining = append(remaining, x)
			continue
		}
		instances[x.instance].Report(now, id, lacebalancer.Load{
			Running: len(requests) - 1,
			Slots:   slotsPerServer,
		}, 0)
		instances[x.instance].Done(now, x.ticket, lacebalancer.Success, meanServiceTime)
	}
	return remaining
}

// Guards against computing the shared prefix of prompts again on one server after another although none of them is
// busy. The limits are a tenth of the recomputations without affinity, and half of the slots of any server while the
// mean utilization is an eighth.
func TestSharedPrefixesAreComputedOnce(t *testing.T) {
	baseline, _ := simulateTypicalLoad(t, false)
	withAffinity, maxRunning := simulateTypicalLoad(t, true)
	t.Logf("requests that compute a shared prefix again: %.3f without affinity, %.3f with affinity",
		baseline, withAffinity)
	if withAffinity > baseline/10 {
		t.Errorf("%.3f of the requests compute a shared prefix again; %.3f without affinity", withAffinity, baseline)
	}
	if maxRunning > slotsPerServer/2 {
		t.Errorf("a server had %d of %d slots in use", maxRunning, slotsPerServer)
	}
}
