package lacerouter

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewriter"
)

const (
	testShards  = 2
	testPaid    = laceunit.Tokens(1_000_000)
	testKey     = "sample-bakery-key"
	testPrompt  = "plan the menu for the week"
	testTimeout = 60 * time.Second
)

func testBudget() laceunit.BudgetID { return laceledger.JoinBudgetID("bakery", "main") }

// document is the configuration of the tests; the addresses of two engines and one order service fill it.
const document = `
accounts:
  bakery:
    name: Bakery
    keys:
      - name: main
        hash: f157e47c442b459742f64892bdf74b481e3bbfd388b800387f9a462857747eeb
    budgets: [main]
servers:
  engine-1: {kind: engine, address: %q, region: r, zone: a, models: [m], slots: 64, fencing: true}
  engine-2: {kind: engine, address: %q, region: r, zone: a, models: [m], slots: 64, fencing: true}
  order-1: {kind: service, address: %q, region: r, zone: a, services: [orders], slots: 64, fencing: false}
models:
  m: {context: 4096, output: 256, priority: 1}
services:
  orders: {priority: 3, price: 20, timeout: 5s, lookup: true}
`

// world is the platform and the backend servers in the test process, with routers as processes beside it.
type world struct {
	t        *testing.T
	platform *laceemulator.Platform
	local    *laceemulator.LocalStore
	url      string
	engines  []*laceemulator.Engine
	service  *httptest.Server
	orders   *laceemulator.Service
	list     *laceemulator.InstanceList
	listURL  string
	// arrived are the times at which generate calls reached an engine.
	arrived   [2]arrivals
	operators string
	program   string
	http      *http.Client
	scheme    string
}

// program builds the router once a run, in a directory of its own: a name made of the process id found the program of an
// earlier run with the same id, and the tests ran against that.
//
//nolint:gochecknoglobals // one build serves all tests of a run
var program = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lacewingcove-router-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "router")
	out, err := exec.CommandContext(context.Background(), "go", "build", "-o", path, "..").CombinedOutput()
	return path, errors.Wrap(err, string(out))
})

func buildRouter(t *testing.T) string {
	t.Helper()
	path, err := program()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := program(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

func newWorld(t *testing.T) *world { return newFundedWorld(t, testPaid) }

// newFundedWorld returns a world whose budget has so many tokens.
func newFundedWorld(t *testing.T, paid laceunit.Tokens) *world {
	t.Helper()
	w := &world{
		t:         t,
		platform:  laceemulator.NewPlatform(laceemulator.WithSeed(7)),
		operators: writeOperators(t),
		program:   buildRouter(t),
		http:      &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		scheme:    "http",
	}
	w.local = w.platform.LocalStore("test")
	server := httptest.NewServer(w.platform.Handler())
	w.url = server.URL
	var addresses []any
	for i := range w.arrived {
		e := laceemulator.NewEngine(laceemulator.EngineOptions{
			Models:        []laceunit.ModelID{"m"},
			Slots:         64,
			TokenInterval: 20 * time.Millisecond,
			Seed:          uint64(11 + i),
		})
		s := httptest.NewServer(w.arrived[i].observe(e.Handler()))
		w.engines = append(w.engines, e)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
		t.Cleanup(func() {
			_ = e.Close()
			s.CloseClientConnections()
			s.Close()
		})
	}
	w.orders = laceemulator.NewService(laceemulator.ServiceOptions{
		ServiceTime:    5 * time.Millisecond,
		SupportsLookup: true,
	})
	w.service = httptest.NewServer(w.orders.Handler())
	addresses = append(addresses, strings.TrimPrefix(w.service.URL, "http://"))
	w.listServers(addresses)
	t.Cleanup(func() {
		w.http.CloseIdleConnections()
		w.service.CloseClientConnections()
		w.service.Close()
		_ = w.platform.Close()
		server.CloseClientConnections()
		server.Close()
	})
	w.configure(fmt.Sprintf(document, addresses...))
	w.topUp("first", paid)
	return w
}

func (w *world) configure(text string) {
	w.t.Helper()
	file, err := laceconfig.DecodeFile([]byte(text))
	if err != nil {
		w.t.Fatal(err)
	}
	_, err = laceconfig.NewStore(w.local).Apply(context.Background(), laceconfig.Edit{
		ID:     "edit-1",
		Author: "test",
		Time:   time.Unix(1, 0),
		File:   file,
	})
	if err != nil {
		w.t.Fatal(err)
	}
}

type noPeers struct{}

func (noPeers) Peers() []lacewriter.Peer { return nil }

// ledger returns a direct view of the ledger.
func (w *world) ledger() *lacewriter.Ledger {
	return lacewriter.New(w.local, lacewriter.Peer{Holder: laceunit.Holder{Instance: "test", Incarnation: 1}}, testShards, noPeers{}, w.http)
}

func (w *world) topUp(id laceunit.TopUpID, tokens laceunit.Tokens) {
	w.t.Helper()
	l := w.ledger()
	defer func() { _ = l.Close() }()
	v, err := l.Append(context.Background(), laceledger.TopUp{
		Budget:  testBudget(),
		Account: "bakery",
		ID:      id,
		Tokens:  tokens,
	}, laceledger.UrgencyImmediate)
	if err != nil || v.Result != laceledger.Accepted {
		w.t.Fatalf("top-up: %v, %v", v, err)
	}
}

func (w *world) balance() laceledger.Balance {
	w.t.Helper()
	l := w.ledger()
	defer func() { _ = l.Close() }()
	b, err := l.Balance(context.Background(), testBudget())
	if err != nil {
		w.t.Fatal(err)
	}
	return b
}

// until waits for a state of the world, which only other processes can bring about.
func (w *world) until(what string, reached func() bool) {
	w.t.Helper()
	deadline := time.After(testTimeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !reached() {
		select {
		case <-deadline:
			w.t.Fatalf("not reached in %v: %s", testTimeout, what)
		case <-tick.C:
		}
	}
}

func (w *world) get(url string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	return w.send(request)
}

func (w *world) send(request *http.Request) (int, string) {
	response, err := w.http.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(body)
}

// order places an order and returns status and body.
func (r *router) order(id string) (int, string) {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, r.world.scheme+"://"+r.address+"/v1/services/orders/restock", strings.NewReader("boxes for "+id))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", id)
	return r.world.send(request)
}

// answer is what a caller has received of a streamed chat.
type answer struct {
	text   string
	usage  laceunit.Tokens
	whole  bool
	status int
	fault  string
}

// chat streams a chat; first is closed when the first part has arrived.
func (r *router) chat(id string, most int, first chan<- struct{}) answer {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, testPrompt+" "+id, most)
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, r.world.scheme+"://"+r.address+"/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", id)
	response, err := r.world.http.Do(request)
	if err != nil {
		return answer{fault: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok && response.StatusCode != http.StatusOK:
			a.fault = lines.Text()
		case data == "[DONE]":
			a.whole = true
		case ok:
			a.take(data)
			if first != nil && a.text != "" {
				close(first)
				first = nil
			}
		}
	}
	return a
}

func (a *answer) take(data string) {
	var chunk struct {
		Choices []struct {
			Delta struct{ Content string }
		}
		Usage *struct {
			Total int64 `json:"total_tokens"`
		}
		Error *struct{ Message string }
	}
	if json.Unmarshal([]byte(data), &chunk) != nil {
		return
	}
	for _, c := range chunk.Choices {
		a.text += c.Delta.Content
	}
	if chunk.Usage != nil {
		a.usage = laceunit.Tokens(chunk.Usage.Total)
	}
	if chunk.Error != nil {
		a.fault = chunk.Error.Message
	}
}

// want is the text that the engines give for a chat.
func want(id string, most int) string {
	return laceemulator.Completion("m", "user: "+testPrompt+" "+id, laceunit.Tokens(most))
}
