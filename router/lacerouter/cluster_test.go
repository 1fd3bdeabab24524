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
	testShards     = 2
	testPaidTokens = laceunit.Tokens(1_000_000)
	testKey        = "sample-bakery-key"
	testPrompt     = "plan the menu for the week"
	testTimeout    = 60 * time.Second
)

func testBudget() laceunit.BudgetID { return laceledger.JoinBudgetID("bakery", "main") }

// documentTemplate is the configuration of the tests; its parameters are the addresses of two engines and an order
// service.
const documentTemplate = `
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

// testCluster runs the platform and the backend servers in the test process, and each router as a separate process.
type testCluster struct {
	t               *testing.T
	platform        *laceemulator.Platform
	local           *laceemulator.LocalStore
	platformURL     string
	engines         []*laceemulator.Engine
	orderServer     *httptest.Server
	orderService    *laceemulator.Service
	instanceList    *laceemulator.InstanceList
	instanceListURL string
	// arrivals records when generate calls arrived at each engine.
	arrivals      [2]arrivalRecorder
	operatorsFile string
	program       string
	client        *http.Client
	callerScheme  string
}

// buildProgram builds the router once per test run, in a new temporary directory: with a directory named by the process
// id, a run with the same id as an earlier one tested the program of the earlier run.
//
//nolint:gochecknoglobals // one build serves all tests of a run
var buildProgram = sync.OnceValues(func() (string, error) {
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
	path, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	return path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if path, err := buildProgram(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(code)
}

func newTestCluster(t *testing.T) *testCluster { return newFundedTestCluster(t, testPaidTokens) }

// newFundedTestCluster returns a cluster whose budget has the given number of tokens.
func newFundedTestCluster(t *testing.T, paid laceunit.Tokens) *testCluster {
	t.Helper()
	return newTestClusterWith(t, paid, func(document string) string { return document })
}

// newTestClusterWith returns a cluster with a modified configuration.
func newTestClusterWith(t *testing.T, paid laceunit.Tokens, modify func(document string) string) *testCluster {
	t.Helper()
	tc := &testCluster{
		t:             t,
		platform:      laceemulator.NewPlatform(laceemulator.WithSeed(7)),
		operatorsFile: writeOperators(t),
		program:       buildRouter(t),
		client:        &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		callerScheme:  "http",
	}
	tc.local = tc.platform.LocalStore("test")
	server := httptest.NewServer(tc.platform.Handler())
	tc.platformURL = server.URL
	var addresses []any
	for i := range tc.arrivals {
		e := laceemulator.NewEngine(laceemulator.EngineOptions{
			Models:        []laceunit.ModelID{"m"},
			Slots:         64,
			TokenInterval: 20 * time.Millisecond,
			Seed:          uint64(11 + i),
		})
		s := httptest.NewServer(tc.arrivals[i].wrap(e.Handler()))
		tc.engines = append(tc.engines, e)
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
		t.Cleanup(func() {
			_ = e.Close()
			s.CloseClientConnections()
			s.Close()
		})
	}
	tc.orderService = laceemulator.NewService(laceemulator.ServiceOptions{
		ServiceTime:    5 * time.Millisecond,
		SupportsLookup: true,
	})
	tc.orderServer = httptest.NewServer(tc.orderService.Handler())
	addresses = append(addresses, strings.TrimPrefix(tc.orderServer.URL, "http://"))
	tc.serveInstanceList(addresses)
	t.Cleanup(func() {
		tc.client.CloseIdleConnections()
		tc.orderServer.CloseClientConnections()
		tc.orderServer.Close()
		_ = tc.platform.Close()
		server.CloseClientConnections()
		server.Close()
	})
	tc.applyConfiguration(modify(fmt.Sprintf(documentTemplate, addresses...)))
	tc.topUp("first", paid)
	return tc
}

func (tc *testCluster) applyConfiguration(text string) {
	tc.t.Helper()
	file, err := laceconfig.DecodeFile([]byte(text))
	if err != nil {
		tc.t.Fatal(err)
	}
	_, err = laceconfig.NewStore(tc.local).Apply(context.Background(), laceconfig.Edit{
		ID:     "edit-1",
		Author: "test",
		Time:   time.Unix(1, 0),
		File:   file,
	})
	if err != nil {
		tc.t.Fatal(err)
	}
}

type noPeers struct{}

func (noPeers) Peers() []lacewriter.Peer { return nil }

// newLedger returns a ledger client that reads and writes the platform directly.
func (tc *testCluster) newLedger() *lacewriter.Ledger {
	return lacewriter.New(tc.local, lacewriter.Peer{Holder: laceunit.Holder{Instance: "test", Incarnation: 1}}, testShards, noPeers{}, tc.client)
}

func (tc *testCluster) topUp(id laceunit.TopUpID, tokens laceunit.Tokens) {
	tc.t.Helper()
	l := tc.newLedger()
	defer func() { _ = l.Close() }()
	v, err := l.Append(context.Background(), laceledger.TopUp{
		Budget:  testBudget(),
		Account: "bakery",
		ID:      id,
		Tokens:  tokens,
	}, laceledger.UrgencyImmediate)
	if err != nil || v.Result != laceledger.Accepted {
		tc.t.Fatalf("top-up: %v, %v", v, err)
	}
}

func (tc *testCluster) balance() laceledger.Balance {
	tc.t.Helper()
	l := tc.newLedger()
	defer func() { _ = l.Close() }()
	b, err := l.Balance(context.Background(), testBudget())
	if err != nil {
		tc.t.Fatal(err)
	}
	return b
}

// waitFor polls until a condition that depends on other processes is true, and fails the test after testTimeout.
func (tc *testCluster) waitFor(description string, condition func() bool) {
	tc.t.Helper()
	deadline := time.After(testTimeout)
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for !condition() {
		select {
		case <-deadline:
			tc.t.Fatalf("not reached in %v: %s", testTimeout, description)
		case <-tick.C:
		}
	}
}

func (tc *testCluster) get(url string) (int, string) {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	return tc.send(request)
}

func (tc *testCluster) send(request *http.Request) (int, string) {
	response, err := tc.client.Do(request)
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

// placeOrder places an order and returns the status and the body of the response.
func (r *router) placeOrder(id string) (int, string) {
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, r.cluster.callerScheme+"://"+r.address+"/v1/services/orders/restock", strings.NewReader("boxes for "+id))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", id)
	return r.cluster.send(request)
}

// chatResponse is the part of a streamed chat that a caller has received.
type chatResponse struct {
	text      string
	usage     laceunit.Tokens
	complete  bool
	status    int
	errorText string
}

// chat streams a chat. It closes first when the first chunk with text has arrived.
func (r *router) chat(id string, maxTokens int, first chan<- struct{}) chatResponse {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true}`, testPrompt+" "+id, maxTokens)
	request, _ := http.NewRequestWithContext(context.Background(), http.MethodPost, r.cluster.callerScheme+"://"+r.address+"/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	request.Header.Set("Idempotency-Key", id)
	response, err := r.cluster.client.Do(request)
	if err != nil {
		return chatResponse{errorText: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	c := chatResponse{status: response.StatusCode}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		switch {
		case !ok && response.StatusCode != http.StatusOK:
			c.errorText = lines.Text()
		case data == "[DONE]":
			c.complete = true
		case ok:
			c.addChunk(data)
			if first != nil && c.text != "" {
				close(first)
				first = nil
			}
		}
	}
	return c
}

func (c *chatResponse) addChunk(data string) {
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
	for _, choice := range chunk.Choices {
		c.text += choice.Delta.Content
	}
	if chunk.Usage != nil {
		c.usage = laceunit.Tokens(chunk.Usage.Total)
	}
	if chunk.Error != nil {
		c.errorText = chunk.Error.Message
	}
}

// expectedText returns the text that the engines generate for a chat.
func expectedText(id string, maxTokens int) string {
	return laceemulator.Completion("m", "user: "+testPrompt+" "+id, laceunit.Tokens(maxTokens))
}
