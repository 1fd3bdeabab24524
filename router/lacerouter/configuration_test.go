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

// propagationLimit is the maximum time until an accepted version is in force on every instance.
const propagationLimit = 7 * time.Second

// versionTracker tracks the configuration version in force on every router.
type versionTracker struct {
	cluster   *testCluster
	mu        sync.Mutex
	reachedAt map[string]map[uint64]time.Time
	highest   map[string]uint64
	violation string
}

// watchVersions polls the version metric of every router until the end of the test.
func (tc *testCluster) watchVersions(routers []*router) *versionTracker {
	v := &versionTracker{
		cluster:   tc,
		reachedAt: map[string]map[uint64]time.Time{},
		highest:   map[string]uint64{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for _, r := range routers {
		v.reachedAt[r.name] = map[uint64]time.Time{}
		workers.Go(func() {
			tick := time.NewTicker(20 * time.Millisecond)
			defer tick.Stop()
			for ctx.Err() == nil {
				v.poll(r)
				<-tick.C
			}
		})
	}
	tc.t.Cleanup(func() {
		cancel()
		workers.Wait()
	})
	return v
}

func (v *versionTracker) poll(r *router) {
	_, body := v.cluster.get("http://" + r.address + "/metrics")
	found := regexp.MustCompile(`(?m)^lace_configuration_version (\d+)$`).FindStringSubmatch(body)
	if found == nil {
		return
	}
	n, _ := strconv.ParseUint(found[1], 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	// A restarted router reads the configuration again and accepts work only after it is confirmed, so 0 is allowed.
	if n < v.highest[r.name] && n > 0 {
		v.violation = fmt.Sprintf("%s went from version %d to %d", r.name, v.highest[r.name], n)
	}
	for x := v.highest[r.name] + 1; x <= n; x++ {
		v.reachedAt[r.name][x] = time.Now()
	}
	v.highest[r.name] = max(n, v.highest[r.name])
}

// checkInForce waits until a version is in force on a router and checks that this was within propagationLimit of its
// acceptance.
func (v *versionTracker) checkInForce(r *router, version uint64, accepted time.Time) {
	v.cluster.t.Helper()
	v.cluster.waitFor(fmt.Sprintf("%s at version %d", r.name, version), func() bool {
		v.mu.Lock()
		defer v.mu.Unlock()
		return v.highest[r.name] >= version
	})
	v.mu.Lock()
	defer v.mu.Unlock()
	if took := v.reachedAt[r.name][version].Sub(accepted); took > propagationLimit {
		v.cluster.t.Errorf("%s: version %d in force after %v", r.name, version, took)
	}
}

// editConfiguration retries an edit through the administration API of a router until it is accepted, and returns the
// version and the time of its acceptance. It adds the number of failed attempts to conflicts.
func (tc *testCluster) editConfiguration(
	r *router, id string, change func(string) string, conflicts *int,
) (uint64, time.Time) {
	tc.t.Helper()
	var out laceadmin.EditResult
	var last error
	defer func() {
		if tc.t.Failed() {
			tc.t.Logf("%s: last error %v", id, last)
		}
	}()
	tc.waitFor("edit "+id, func() bool {
		c := tc.adminClient(r)
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

// setValue returns a change that sets the value of every occurrence of a key.
func setValue(key, value string) func(string) string {
	pattern := regexp.MustCompile(`(?m)(\b` + key + `: ).*$`)
	return func(text string) string { return pattern.ReplaceAllString(text, "${1}"+value) }
}

// editConcurrently edits the document at all routers concurrently: a section that they share, then a different one for
// each.
func (tc *testCluster) editConcurrently(routers []*router, name string, base int, v *versionTracker) {
	tc.t.Helper()
	keys := []string{"context", "price", "slots"}
	var workers sync.WaitGroup
	var mu sync.Mutex
	accepted := map[uint64]time.Time{}
	for i, r := range routers {
		workers.Go(func() {
			conflicts := 0
			for j, key := range []string{"output", keys[i]} {
				value := strconv.Itoa(base + 10*i + 1000*j)
				version, at := tc.editConfiguration(r, fmt.Sprint(name, "-", i, "-", j), setValue(key, value),
					&conflicts)
				mu.Lock()
				if _, ok := accepted[version]; ok {
					tc.t.Errorf("version %d accepted twice", version)
				}
				accepted[version] = at
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	for version, at := range accepted {
		for _, r := range routers {
			v.checkInForce(r, version, at)
		}
	}
}

// Guards against lost edits, and against versions that are not in force in time or go backwards on an instance, while
// edits are concurrent, one instance is partitioned from the platform, and another one is killed and restarted.
func TestConfigurationInForceUnderFaults(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	routers, proxies := tc.startFleet(3)
	v := tc.watchVersions(routers)
	tc.editConcurrently(routers, "calm", 100, v)
	tc.platform.SetFaults(laceemulator.PlatformFaults{LossRate: 0.2, Latency: 20 * time.Millisecond})
	tc.editConcurrently(routers, "lossy", 200, v)
	platformCut := laceemulator.PlatformFaults{
		Partitions: map[string]laceemulator.Partition{"router-3": laceemulator.DropRequests},
	}
	tc.platform.SetFaults(platformCut)
	conflicts := 0
	version, at := tc.editConfiguration(routers[0], "alone", setValue("price", "33"), &conflicts)
	for _, r := range routers {
		v.checkInForce(r, version, at)
	}
	routers[1].signal(syscall.SIGKILL)
	version, at = tc.editConfiguration(routers[0], "killed", setValue("price", "34"), &conflicts)
	routers[1] = tc.restart(routers[1])
	for _, r := range routers {
		v.checkInForce(r, version, at)
	}
	// Partitioned from its peers too, the instance can't learn of the next version and must refuse new work.
	for _, r := range proxies {
		r.setBlocked(requestDirection, responseDirection)
	}
	_, at = tc.editConfiguration(routers[0], "isolated", setValue("price", "35"), &conflicts)
	tc.waitFor("isolated instance refuses", func() bool {
		c := routers[2].chat(fmt.Sprint("isolated-", time.Now().UnixNano()), 8, nil)
		return c.status != http.StatusOK
	})
	if took := time.Since(at); took > propagationLimit {
		t.Errorf("the isolated instance accepted work under an old version for %v", took)
	}
	status, body := routers[2].placeOrder("isolated")
	if e := decodeError(body); status == http.StatusOK || e.Outcome != lacefault.NotRun ||
		tc.orderRuns()["isolated"] > 0 {
		t.Errorf("order at the isolated instance: %d %s", status, body)
	}
	if v.violation != "" {
		t.Error(v.violation)
	}
	d, err := tc.adminClient(routers[0]).Show(context.Background())
	if err != nil || !strings.Contains(d.Text, "price: 35") {
		t.Errorf("last edit lost: %v\n%s", err, d.Text)
	}
}
