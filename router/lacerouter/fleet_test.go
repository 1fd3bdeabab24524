package lacerouter

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// testOperatorToken is the token of the operator of the tests.
const testOperatorToken = "sample-operator-token"

// writeOperators writes an operators file with one operator who has all rights.
func writeOperators(t *testing.T) string {
	t.Helper()
	var rights []string
	for _, r := range laceadmin.Permissions() {
		rights = append(rights, string(r))
	}
	file := filepath.Join(t.TempDir(), "operators.yaml")
	text := fmt.Sprintf("operators:\n  test:\n    token: %s\n    may: [%s]\n", laceadmin.Hash(testOperatorToken), strings.Join(rights, ", "))
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// adminClient returns a client of the administration API of the given routers.
func (tc *testCluster) adminClient(routers ...*router) *laceadmin.Client {
	c := &laceadmin.Client{
		Token: testOperatorToken,
		HTTP: &http.Client{
			Transport: tc.client.Transport,
			Timeout:   10 * time.Second,
		},
	}
	for _, r := range routers {
		c.Addresses = append(c.Addresses, r.admin)
	}
	return c
}

// serverNames are the backend servers of the document in the order of their addresses.
func serverNames() []string { return []string{"engine-1", "engine-2", "order-1"} }

// serveInstanceList serves an instance list in which every backend server is live.
func (tc *testCluster) serveInstanceList(addresses []any) {
	var entries []laceemulator.ListEntry
	for i, name := range serverNames() {
		entries = append(entries, laceemulator.ListEntry{
			Name:    name,
			Kind:    strings.TrimRight(name, "-12"),
			State:   laceemulator.StateLive,
			Address: laceunit.Address(fmt.Sprint(addresses[i])),
		})
	}
	tc.instanceList = laceemulator.NewInstanceList(time.Now, 0, 1, entries)
	s := httptest.NewServer(tc.instanceList.Handler())
	tc.instanceListURL = s.URL
	tc.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
}

// arrivalRecorder records the arrival times of the generate calls at an engine.
type arrivalRecorder struct {
	mu       sync.Mutex
	lastTime time.Time
	count    int
	times    []time.Time
}

func (a *arrivalRecorder) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/generate" {
			a.mu.Lock()
			a.lastTime = time.Now()
			a.count++
			a.times = append(a.times, a.lastTime)
			a.mu.Unlock()
		}
		next.ServeHTTP(w, r)
	})
}

// maxInWindow returns the maximum number of calls within any window of the given length that starts after a given time.
func (a *arrivalRecorder) maxInWindow(window time.Duration, after time.Time) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	highest := 0
	for i, first := range a.times {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range a.times[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		highest = max(highest, n)
	}
	return highest
}

func (a *arrivalRecorder) lastAndCount() (time.Time, int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastTime, a.count
}

// startFleet starts n routers whose peer ports are behind TCP proxies and waits until all of them run orders. A router
// that has just joined must not run orders until an earlier member has acknowledged it.
func (tc *testCluster) startFleet(n int, flags ...string) ([]*router, []*tcpProxy) {
	tc.t.Helper()
	var routers []*router
	var proxies []*tcpProxy
	for i := range n {
		peer := freePort(tc.t)
		proxy := newTCPProxy(tc.t, peer)
		proxies = append(proxies, proxy)
		routers = append(routers, tc.start("router-"+strconv.Itoa(i+1), append([]string{"-peer.listen", peer, "-peer.public", proxy.address}, flags...)...))
	}
	for _, r := range routers {
		tc.waitFor(r.name+" enabled", func() bool {
			status, _ := r.placeOrder("enabled-" + r.name)
			return status == http.StatusOK
		})
	}
	return routers, proxies
}

// router is one router process.
type router struct {
	cluster *testCluster
	name    string
	address string
	admin   string
	flags   []string
	cmd     *exec.Cmd
	log     *bytes.Buffer
	exited  chan struct{}
}

// The ports of the routers are below the ephemeral port range, because an outgoing connection can take an ephemeral
// port between its selection and the start of the router. They are also below those of the other programs' tests. Each
// test process claims a block of them, since another one could otherwise take a port in that time as well: its router
// would then not start, or the requests of one test would reach the router of another.
const (
	firstPort = 12000
	blockSize = 800
	blocks    = 10
)

//nolint:gochecknoglobals // parallel tests share the ports of the process
var (
	portCounter atomic.Int64
	portBlock   = sync.OnceValues(claimPorts)
)

// claimPorts returns a block of ports that no other test process has: a listener on its first port holds it until the
// process ends.
func claimPorts() (claim net.Listener, err error) {
	var config net.ListenConfig
	for n := range blocks {
		claim, err = config.Listen(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", firstPort+n*blockSize))
		if err == nil {
			return claim, nil
		}
	}
	return nil, err
}

// firstOf returns the port that claims a block.
func firstOf(claim net.Listener) int64 {
	return int64(claim.Addr().(*net.TCPAddr).Port)
}

// Guards against two test processes that use the same ports.
func TestPortsAreClaimedByOneProcess(t *testing.T) {
	own, err := portBlock()
	if err != nil {
		t.Fatal(err)
	}
	other, err := claimPorts()
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	if firstOf(own) == firstOf(other) {
		t.Errorf("two claims of the block from port %d", firstOf(own))
	}
	_, port, err := net.SplitHostPort(freePort(t))
	if err != nil {
		t.Fatal(err)
	}
	if n, err := strconv.ParseInt(port, 10, 64); err != nil || n <= firstOf(own) || n >= firstOf(own)+blockSize {
		t.Errorf("port %s is not in the block from %d, error %v", port, firstOf(own), err)
	}
}

// freePort returns an address that is not used by another test of this run and has no listener.
func freePort(t *testing.T) string {
	t.Helper()
	var config net.ListenConfig
	claim, err := portBlock()
	if err != nil {
		t.Fatal(err)
	}
	for range blockSize {
		n := 1 + portCounter.Add(1)%(blockSize-1)
		address := fmt.Sprint("127.0.0.1:", firstOf(claim)+n)
		if l, err := config.Listen(context.Background(), "tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts a router process and waits until it is ready.
func (tc *testCluster) start(name string, flags ...string) *router {
	tc.t.Helper()
	return tc.launch(&router{
		cluster: tc,
		name:    name,
		address: freePort(tc.t),
		admin:   freePort(tc.t),
		flags:   append([]string{"-peer.listen", freePort(tc.t)}, flags...),
	})
}

// restart restarts a killed router at the same addresses.
func (tc *testCluster) restart(r *router) *router {
	tc.t.Helper()
	<-r.exited
	return tc.launch(&router{
		cluster: tc,
		name:    r.name,
		address: r.address,
		admin:   r.admin,
		flags:   r.flags,
	})
}

func (tc *testCluster) launch(r *router) *router {
	tc.t.Helper()
	r.log, r.exited = &bytes.Buffer{}, make(chan struct{})
	args := append([]string{
		"-instance", r.name,
		"-platform.endpoints", tc.platformURL,
		"-caller.listen", r.address,
		"-admin.listen", r.admin,
		"-admin.operators", tc.operatorsFile,
		"-list", tc.instanceListURL,
		"-ledger.shards", fmt.Sprint(testShards),
	}, r.flags...)
	r.cmd = exec.CommandContext(context.Background(), tc.program, args...)
	r.cmd.Stderr = r.log
	if err := r.cmd.Start(); err != nil {
		tc.t.Fatal(err)
	}
	go func() {
		_ = r.cmd.Wait()
		close(r.exited)
	}()
	tc.t.Cleanup(func() {
		_ = r.cmd.Process.Kill()
		<-r.exited
		if tc.t.Failed() {
			tc.t.Logf("%s:\n%s", r.name, r.log)
		}
	})
	tc.waitFor(r.name+" ready", func() bool {
		select {
		case <-r.exited:
			tc.t.Fatalf("%s exited during startup", r.name)
		default:
		}
		status, _ := tc.get(tc.callerScheme + "://" + r.address + "/readyz")
		return status == http.StatusOK
	})
	return r
}

func (r *router) signal(s syscall.Signal) {
	r.cluster.t.Helper()
	if err := r.cmd.Process.Signal(s); err != nil {
		r.cluster.t.Fatal(err)
	}
}
