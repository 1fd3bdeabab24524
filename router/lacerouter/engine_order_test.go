package lacerouter

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"

	"lacewingcove/lib/laceadmin"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// delayedHandler delays the first order to an engine until release is closed, like a slow network.
type delayedHandler struct {
	next       http.Handler
	triggered  atomic.Bool
	received   chan struct{}
	release    chan struct{}
	lateStatus chan int
}

// ServeHTTP implements http.Handler.
func (h *delayedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/orders" || h.triggered.Swap(true) {
		h.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	close(h.received)
	<-h.release
	recorder := httptest.NewRecorder()
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	h.next.ServeHTTP(recorder, late)
	h.lateStatus <- recorder.Code
	w.WriteHeader(recorder.Code)
}

// fencingCluster is a test cluster with an engine behind a delayedHandler that checks fencing tokens, engine-1, and an
// engine that ignores them, engine-2.
type fencingCluster struct {
	*testCluster
	delayed       *delayedHandler
	engineURLs    map[string]string
	operatorsFile string
}

func newFencingCluster(t *testing.T) *fencingCluster {
	t.Helper()
	fc := &fencingCluster{
		testCluster: newTestCluster(t),
		delayed: &delayedHandler{
			received:   make(chan struct{}),
			release:    make(chan struct{}),
			lateStatus: make(chan int, 1),
		},
		engineURLs:    map[string]string{},
		operatorsFile: filepath.Join(t.TempDir(), "operators.yaml"),
	}
	store := laceconfig.NewStore(fc.local)
	file, err := store.Show(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"engine-1", "engine-2"} {
		fencing := name == "engine-1"
		e := laceemulator.NewEngine(laceemulator.EngineOptions{
			Models:          []laceunit.ModelID{"m"},
			Slots:           4,
			EnforcesFencing: fencing,
		})
		handler := e.Handler()
		if fencing {
			fc.delayed.next = handler
			handler = fc.delayed
		}
		server := httptest.NewServer(handler)
		t.Cleanup(func() {
			_ = e.Close()
			server.CloseClientConnections()
			server.Close()
		})
		fc.engineURLs[name] = server.URL
		x := file.Document.Servers[laceunit.ServerID(name)]
		x.Address, x.SupportsFencing = laceunit.Address(strings.TrimPrefix(server.URL, "http://")), fencing
		file.Document.Servers[laceunit.ServerID(name)] = x
	}
	if _, err = store.Apply(context.Background(),
		laceconfig.Edit{ID: "edit-2", Author: "test", File: file}); err != nil {
		t.Fatal(err)
	}
	text := "operators: {chief: {token: " + laceadmin.Hash(adminToken) + ", may: [servers]}, reader: {token: " + laceadmin.Hash(readerToken) + "}}"
	if err = os.WriteFile(fc.operatorsFile, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return fc
}

// startRouter starts a router and returns it with a client of its administration API.
func (fc *fencingCluster) startRouter(name string) (*router, *laceadmin.Client) {
	fc.t.Helper()
	admin := freePort(fc.t)
	r := fc.start(name, "-admin.listen", admin, "-admin.operators", fc.operatorsFile)
	return r, &laceadmin.Client{
		Addresses: []string{admin},
		Token:     adminToken,
		HTTP:      &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// sendVersionOrder orders an engine to switch to a version of the model. The id of the order is the version.
func sendVersionOrder(c *laceadmin.Client, server, name string) error {
	_, err := c.SendOrder(context.Background(), server, laceadmin.ServerOrder{
		ID:      name,
		Kind:    "version",
		Model:   "m",
		Version: name,
	})
	return err
}

// executedOrders returns the versions and the fencing tokens of the orders that an engine has executed.
func (fc *fencingCluster) executedOrders(server string) (versions []string, fences []uint64) {
	fc.t.Helper()
	_, text := fc.get(fc.engineURLs[server] + "/v1/orders")
	var response struct {
		Orders []struct {
			Fence   uint64
			Version string
		}
	}
	if err := json.Unmarshal([]byte(text), &response); err != nil {
		fc.t.Fatal(err)
	}
	for _, x := range response.Orders {
		versions, fences = append(versions, x.Version), append(fences, x.Fence)
	}
	return versions, fences
}

// checkFenceOrder checks that no order with an old fencing token was executed after one with a newer token.
func (fc *fencingCluster) checkFenceOrder(server string) {
	fc.t.Helper()
	versions, fences := fc.executedOrders(server)
	for i := 1; i < len(fences); i++ {
		if fences[i] < fences[i-1] {
			fc.t.Errorf("%s: order with fencing token %d after one with %d: %v %v", server, fences[i], fences[i-1],
				versions, fences)
		}
	}
}

// Guards against a paused lease holder whose orders interleave with those of its successor after it resumes. At an
// engine that checks fencing tokens its late order must be rejected; to an engine that ignores them its late orders
// must not be sent.
func TestLateOrdersOfPausedLeaseHolderAreNotExecuted(t *testing.T) {
	t.Parallel()
	fc := newFencingCluster(t)
	first, firstClient := fc.startRouter("router-1")
	_, secondClient := fc.startRouter("router-2")
	const n = 5
	var lateOrders sync.WaitGroup
	lateOrders.Go(func() { _ = sendVersionOrder(firstClient, "engine-1", "old") })
	<-fc.delayed.received
	// These are queued behind the delayed order, or in flight, when the holder is paused.
	for i := range n {
		lateOrders.Go(func() { _ = sendVersionOrder(firstClient, "engine-2", fmt.Sprint("old-", i)) })
	}
	first.signal(syscall.SIGSTOP)
	if err := sendVersionOrder(secondClient, "engine-1", "new"); err != nil {
		t.Fatalf("the successor: %v", err)
	}
	close(fc.delayed.release)
	if status := <-fc.delayed.lateStatus; status != http.StatusConflict {
		t.Errorf("the late order of the previous holder: status %d", status)
	}
	for i := range n {
		if i == 1 {
			first.signal(syscall.SIGCONT)
		}
		if err := sendVersionOrder(secondClient, "engine-2", fmt.Sprint("new-", i)); err != nil {
			t.Fatalf("the successor: %v", err)
		}
	}
	lateOrders.Wait()
	for server := range fc.engineURLs {
		fc.checkFenceOrder(server)
	}
	versions, _ := fc.executedOrders("engine-2")
	for i := range n {
		name := fmt.Sprint("new-", i)
		if c := strings.Count(strings.Join(versions, " ")+" ", name+" "); c != 1 {
			t.Errorf("%s was executed %d times", name, c)
		}
	}
}

// Guards against an order that is executed again for the same id after a later one, that has no audit record, or that
// an operator without the right can give.
func TestOrderRunsOncePerID(t *testing.T) {
	t.Parallel()
	fc := newFencingCluster(t)
	close(fc.delayed.release)
	_, c := fc.startRouter("router-1")
	for _, name := range []string{"a", "b", "a"} {
		if err := sendVersionOrder(c, "engine-1", name); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if versions, _ := fc.executedOrders("engine-1"); strings.Join(versions, " ") != "a b" {
		t.Errorf("executed: %v", versions)
	}
	record, err := fc.local.Get(context.Background(), "audit/action/a")
	if text := string(record.Value); err != nil || !strings.Contains(text, "engine-1 version model=m version=a") ||
		!strings.Contains(text, "who: chief") || !strings.Contains(text, "result: done") {
		t.Errorf("audit record: %v %s", err, record.Value)
	}
	c.Token = readerToken
	if err := sendVersionOrder(c, "engine-1", "c"); err == nil ||
		!strings.Contains(err.Error(), string(laceadmin.Forbidden)) {
		t.Errorf("without the right: %v", err)
	}
}
