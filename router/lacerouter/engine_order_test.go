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

// gate holds the first order to an engine back until it is opened, as a network may.
type gate struct {
	next   http.Handler
	closed atomic.Bool
	held   chan struct{}
	open   chan struct{}
	status chan int
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost || r.URL.Path != "/v1/orders" || g.closed.Swap(true) {
		g.next.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	close(g.held)
	<-g.open
	answer := httptest.NewRecorder()
	late := r.Clone(context.Background())
	late.Body = io.NopCloser(bytes.NewReader(body))
	g.next.ServeHTTP(answer, late)
	g.status <- answer.Code
	w.WriteHeader(answer.Code)
}

// ordered is a world with an engine that checks fencing tokens behind a gate, engine-1, and one that ignores them,
// engine-2.
type ordered struct {
	*world
	gate      *gate
	urls      map[string]string
	operators string
}

func newOrdered(t *testing.T) *ordered {
	t.Helper()
	o := &ordered{
		world: newWorld(t),
		gate: &gate{
			held:   make(chan struct{}),
			open:   make(chan struct{}),
			status: make(chan int, 1),
		},
		urls:      map[string]string{},
		operators: filepath.Join(t.TempDir(), "operators.yaml"),
	}
	store := laceconfig.NewStore(o.local)
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
			o.gate.next = handler
			handler = o.gate
		}
		server := httptest.NewServer(handler)
		t.Cleanup(func() {
			_ = e.Close()
			server.CloseClientConnections()
			server.Close()
		})
		o.urls[name] = server.URL
		x := file.Document.Servers[laceunit.ServerID(name)]
		x.Address, x.SupportsFencing = laceunit.Address(strings.TrimPrefix(server.URL, "http://")), fencing
		file.Document.Servers[laceunit.ServerID(name)] = x
	}
	if _, err = store.Apply(context.Background(), laceconfig.Edit{ID: "edit-2", Author: "test", File: file}); err != nil {
		t.Fatal(err)
	}
	text := "operators: {chief: {token: " + laceadmin.Hash(chiefToken) + ", may: [servers]}, reader: {token: " + laceadmin.Hash(readerToken) + "}}"
	if err = os.WriteFile(o.operators, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return o
}

// run starts a router and returns it with a client of its administration API.
func (o *ordered) run(name string) (*router, *laceadmin.Client) {
	o.t.Helper()
	admin := freePort(o.t)
	r := o.start(name, "-admin.listen", admin, "-admin.operators", o.operators)
	return r, &laceadmin.Client{
		Addresses: []string{admin},
		Token:     chiefToken,
		HTTP:      &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// version orders a version of the model; the id of the order is the version.
func version(c *laceadmin.Client, server, name string) error {
	_, err := c.SendOrder(context.Background(), server, laceadmin.ServerOrder{
		ID:      name,
		Kind:    "version",
		Model:   "m",
		Version: name,
	})
	return err
}

// log returns the orders that an engine has carried out.
func (o *ordered) log(server string) (versions []string, fences []uint64) {
	o.t.Helper()
	_, text := o.get(o.urls[server] + "/v1/orders")
	var answer struct {
		Orders []struct {
			Fence   uint64
			Version string
		}
	}
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		o.t.Fatal(err)
	}
	for _, x := range answer.Orders {
		versions, fences = append(versions, x.Version), append(fences, x.Fence)
	}
	return versions, fences
}

// inOrder checks that no order under an old fencing token was carried out after one under a newer token.
func (o *ordered) inOrder(server string) {
	o.t.Helper()
	versions, fences := o.log(server)
	for i := 1; i < len(fences); i++ {
		if fences[i] < fences[i-1] {
			o.t.Errorf("%s: order of fence %d after one of %d: %v %v", server, fences[i], fences[i-1], versions, fences)
		}
	}
}

// Guards against a paused holder whose orders mix with those of its successor when it wakes: at an engine that checks
// fencing tokens, where its late order must be refused, and at one that ignores them, where it must not be sent.
func TestPausedHolderOfOrders(t *testing.T) {
	t.Parallel()
	o := newOrdered(t)
	first, one := o.run("router-1")
	_, two := o.run("router-2")
	const n = 5
	var old sync.WaitGroup
	old.Go(func() { _ = version(one, "engine-1", "old") })
	<-o.gate.held
	// These wait behind the order that is held back, or are under way, when the holder stops.
	for i := range n {
		old.Go(func() { _ = version(one, "engine-2", fmt.Sprint("old-", i)) })
	}
	first.signal(syscall.SIGSTOP)
	if err := version(two, "engine-1", "new"); err != nil {
		t.Fatalf("the successor: %v", err)
	}
	close(o.gate.open)
	if status := <-o.gate.status; status != http.StatusConflict {
		t.Errorf("the late order of the former holder: status %d", status)
	}
	for i := range n {
		if i == 1 {
			first.signal(syscall.SIGCONT)
		}
		if err := version(two, "engine-2", fmt.Sprint("new-", i)); err != nil {
			t.Fatalf("the successor: %v", err)
		}
	}
	old.Wait()
	for server := range o.urls {
		o.inOrder(server)
	}
	versions, _ := o.log("engine-2")
	for i := range n {
		name := fmt.Sprint("new-", i)
		if c := strings.Count(strings.Join(versions, " ")+" ", name+" "); c != 1 {
			t.Errorf("%s was carried out %d times", name, c)
		}
	}
}

// Guards against an order that is carried out again under its id after a later one, that lacks its audit record, or
// that an operator without the right gives.
func TestOrdersOnceById(t *testing.T) {
	t.Parallel()
	o := newOrdered(t)
	close(o.gate.open)
	_, c := o.run("router-1")
	for _, name := range []string{"a", "b", "a"} {
		if err := version(c, "engine-1", name); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
	}
	if versions, _ := o.log("engine-1"); strings.Join(versions, " ") != "a b" {
		t.Errorf("carried out: %v", versions)
	}
	record, err := o.local.Get(context.Background(), "audit/action/a")
	if text := string(record.Value); err != nil || !strings.Contains(text, "engine-1 version model=m version=a") ||
		!strings.Contains(text, "who: chief") || !strings.Contains(text, "result: done") {
		t.Errorf("audit record: %v %s", err, record.Value)
	}
	c.Token = readerToken
	if err := version(c, "engine-1", "c"); err == nil || !strings.Contains(err.Error(), string(laceadmin.Forbidden)) {
		t.Errorf("without the right: %v", err)
	}
}
