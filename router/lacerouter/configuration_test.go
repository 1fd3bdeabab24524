package lacerouter

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacefault"
)

// inForce is the time in which an accepted version is in force on every instance.
const inForce = 7 * time.Second

// versions watches the configuration version in force on every router.
type versions struct {
	world   *world
	mu      sync.Mutex
	reached map[string]map[uint64]time.Time
	highest map[string]uint64
	fault   string
}

// watch polls the metric of every router until the test ends.
func (w *world) watchVersions(routers []*router) *versions {
	v := &versions{
		world:   w,
		reached: map[string]map[uint64]time.Time{},
		highest: map[string]uint64{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for _, r := range routers {
		v.reached[r.name] = map[uint64]time.Time{}
		all.Go(func() {
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for ctx.Err() == nil {
				v.read(r)
				<-tick.C
			}
		})
	}
	w.t.Cleanup(func() {
		cancel()
		all.Wait()
	})
	return v
}

func (v *versions) read(r *router) {
	_, body := v.world.get("http://" + r.address + "/metrics")
	found := regexp.MustCompile(`(?m)^lace_configuration_version (\d+)$`).FindStringSubmatch(body)
	if found == nil {
		return
	}
	n, _ := strconv.ParseUint(found[1], 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	// A restarted router reads the configuration anew; it takes work only with a confirmed one.
	if n < v.highest[r.name] && n > 0 {
		v.fault = fmt.Sprintf("%s went from version %d to %d", r.name, v.highest[r.name], n)
	}
	for x := v.highest[r.name] + 1; x <= n; x++ {
		v.reached[r.name][x] = time.Now()
	}
	v.highest[r.name] = max(n, v.highest[r.name])
}

// wait checks that a version that was accepted at a time is in force in time on a router.
func (v *versions) wait(r *router, version uint64, accepted time.Time) {
	v.world.t.Helper()
	v.world.until(fmt.Sprintf("%s at version %d", r.name, version), func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.highest[r.name] >= version
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	if took := v.reached[r.name][version].Sub(accepted); took > inForce {
		v.world.t.Errorf("%s: version %d in force after %v", r.name, version, took)
	}
}

// edit changes the document through the administration API of a router until the edit is accepted, and returns the
// version and the time of its acceptance. Conflicts are counted.
func (w *world) edit(r *router, id string, change func(string) string, conflicts *int) (uint64, time.Time) {
	w.t.Helper()
	var out laceadmin.EditResult
	var last error
	defer func() {
		if w.t.Failed() {
			w.t.Logf("%s: last error %v", id, last)
		}
	}()
	w.until("edit "+id, func() bool {
		c := w.operator(r)
		d, err := c.Show(context.Background())
		if err != nil {
			return false
		}
		out, err = c.Apply(context.Background(), laceadmin.Proposal{ID: id, Text: change(d.Text)})
		if err != nil {
			last = err
			*conflicts++
		}
		return err == nil
	})
	return out.Version, time.Now()
}

// replace returns a change that sets the value of a key wherever it stands.
func replace(key, value string) func(string) string {
	pattern := regexp.MustCompile(`(?m)(\b` + key + `: ).*$`)
	return func(text string) string { return pattern.ReplaceAllString(text, "${1}"+value) }
}

// race edits the document at every router at once: the same section, and another one for each.
func (w *world) race(routers []*router, name string, base int, v *versions) {
	w.t.Helper()
	keys := []string{"context", "price", "slots"}
	var all sync.WaitGroup
	var mu sync.Mutex
	accepted := map[uint64]time.Time{}
	for i, r := range routers {
		all.Go(func() {
			conflicts := 0
			for j, key := range []string{"output", keys[i]} {
				value := strconv.Itoa(base + 10*i + 1000*j)
				version, at := w.edit(r, fmt.Sprint(name, "-", i, "-", j), replace(key, value), &conflicts)
				mu.Lock()
				if _, ok := accepted[version]; ok {
					w.t.Errorf("version %d accepted twice", version)
				}
				accepted[version] = at
				mu.Unlock()
			}
		})
	}
	all.Wait()
	for version, at := range accepted {
		for _, r := range routers {
			v.wait(r, version, at)
		}
	}
}

// Guards against edits that get lost, against versions that are not in force on an instance in time or go back, when
// operators race, an instance is cut off from the platform, and another one is killed and starts again.
func TestConfigurationInForceUnderFaults(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	routers, relays := w.fleet(3)
	v := w.watchVersions(routers)
	w.race(routers, "calm", 100, v)
	w.platform.SetFaults(laceemulator.PlatformFaults{LossRate: 0.2, Latency: 20 * time.Millisecond})
	w.race(routers, "lossy", 200, v)
	alone := laceemulator.PlatformFaults{Partitions: map[string]laceemulator.Partition{"router-3": laceemulator.DropRequests}}
	w.platform.SetFaults(alone)
	conflicts := 0
	version, at := w.edit(routers[0], "alone", replace("price", "33"), &conflicts)
	for _, r := range routers {
		v.wait(r, version, at)
	}
	routers[1].signal(syscall.SIGKILL)
	version, at = w.edit(routers[0], "killed", replace("price", "34"), &conflicts)
	routers[1] = w.restart(routers[1])
	for _, r := range routers {
		v.wait(r, version, at)
	}
	// Cut off from the peers too, the instance can't know of the next version and must refuse new work.
	for _, r := range relays {
		r.set(requests, answers)
	}
	_, at = w.edit(routers[0], "isolated", replace("price", "35"), &conflicts)
	w.until("isolated instance refuses", func() bool {
		a := routers[2].chat(fmt.Sprint("isolated-", time.Now().UnixNano()), 8, nil)
		return a.status != http.StatusOK
	})
	if took := time.Since(at); took > inForce {
		t.Errorf("the isolated instance took work under an old version for %v", took)
	}
	status, body := routers[2].order("isolated")
	if c := refused(body); status == http.StatusOK || c.Outcome != lacefault.NotRun || w.runs()["isolated"] > 0 {
		t.Errorf("order at the isolated instance: %d %s", status, body)
	}
	if v.fault != "" {
		t.Error(v.fault)
	}
	d, err := w.operator(routers[0]).Show(context.Background())
	if err != nil || !strings.Contains(d.Text, "price: 35") {
		t.Errorf("last edit lost: %v\n%s", err, d.Text)
	}
}
