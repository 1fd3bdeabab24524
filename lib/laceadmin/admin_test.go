package laceadmin

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
)

func codeOf(err error) Code {
	var f *Fault
	if errors.As(err, &f) {
		return f.Code
	}
	return ""
}

// Guards against changes by callers without a valid token or without the required permission.
func TestPermissions(t *testing.T) {
	f, ctx := newFixture(t), context.Background()
	unauthenticated := &Client{Addresses: []string{f.address}, Token: "guess", HTTP: http.DefaultClient}
	for name, call := range map[string]func(c *Client) error{
		"apply":   func(c *Client) error { _, err := c.Apply(ctx, Proposal{ID: "x", Text: "models: {}"}); return err },
		"rotate":  func(c *Client) error { _, err := c.RotateKey(ctx, "bakery", Rotation{ID: "x", Name: "n"}); return err },
		"topup":   func(c *Client) error { _, err := c.TopUp(ctx, "bakery", TopUp{ID: "x", Tokens: 5}); return err },
		"release": func(c *Client) error { _, err := c.Release(ctx, "bakery", "g", Order{ID: "x"}); return err },
		"fence":   func(c *Client) error { _, err := c.Fence(ctx, "i", "7", Order{ID: "x"}); return err },
		"drain":   func(c *Client) error { _, err := c.Drain(ctx, Order{ID: "x"}); return err },
	} {
		if err := call(f.reader); codeOf(err) != Forbidden {
			t.Errorf("%s without the permission: %v", name, err)
		}
		if err := call(unauthenticated); codeOf(err) != Unauthorized {
			t.Errorf("%s with an unknown token: %v", name, err)
		}
	}
	if _, err := unauthenticated.Show(ctx); codeOf(err) != Unauthorized {
		t.Errorf("show with an unknown token: %v", err)
	}
	if f.platform.writes != 0 || f.fleet.drained != 0 || len(f.fleet.fenced) != 0 {
		t.Errorf("rejected calls had side effects: %d writes", f.platform.writes)
	}
}

// Guards against rejecting an edit that repeats unmodified sections for which the operator has no permission, and
// against accepting a change of such a section.
func TestApplySkipsUnchangedForbiddenSections(t *testing.T) {
	f, ctx := newFixture(t), context.Background()
	d, err := f.reader.Show(ctx)
	if err != nil {
		t.Fatal(err)
	}
	permitted := strings.Replace(d.Text, "waiting: 512", "waiting: 7", 1)
	out, err := f.reader.Apply(ctx, Proposal{ID: "a", Text: permitted})
	if err != nil || out.Version != 2 || len(out.Changes) != 1 {
		t.Fatalf("%+v, %v", out, err)
	}
	forbidden := strings.Replace(d.Text, "queue: 256", "queue: 1", 1)
	if _, err = f.reader.Apply(ctx, Proposal{ID: "b", Text: forbidden}); codeOf(err) != Forbidden {
		t.Fatalf("got %v", err)
	}
	stale := strings.Replace(d.Text, "waiting: 512", "waiting: 8", 1)
	if _, err = f.operator.Apply(ctx, Proposal{ID: "c", Text: stale}); codeOf(err) != Conflict {
		t.Fatalf("got %v", err)
	}
	_, err = f.operator.Plan(ctx, Proposal{Text: "models:\n  m: {context: 1}\n"})
	var fault *Fault
	if !errors.As(err, &fault) || fault.Code != InvalidDocument || len(fault.Faults) != 1 || fault.Faults[0].Line != 2 {
		t.Fatalf("got %v", err)
	}
	h, err := f.reader.History(ctx, 0, 5)
	if err != nil || len(h.Records) != 2 || h.Records[0].Author != "reader" {
		t.Fatalf("%+v, %v", h, err)
	}
}

// Guards against a new key that is stored in plain text, not put into effect, returned twice or added twice.
func TestKeyRotation(t *testing.T) {
	f, ctx := newFixture(t), context.Background()
	first, err := f.operator.RotateKey(ctx, "bakery", Rotation{ID: "r1", Name: "second"})
	if err != nil || first.Key == "" {
		t.Fatalf("%+v, %v", first, err)
	}
	for k, e := range f.platform.values {
		if strings.Contains(string(e.Value), first.Key) {
			t.Fatalf("%s contains the key in plain text", k)
		}
	}
	if retried, retryErr := f.operator.RotateKey(ctx, "bakery", Rotation{
		ID: "r1", Name: "second",
	}); codeOf(retryErr) != IDReused || retried.Key != "" {
		t.Fatalf("%+v, %v", retried, retryErr)
	}
	rotation := Rotation{ID: "r2", Name: "third", Hash: Hash("mine"), Drop: []string{"main"}}
	for i := range 2 {
		got, rotateErr := f.operator.RotateKey(ctx, "bakery", rotation)
		if rotateErr != nil || got.Version != 3 || got.Repeated != (i == 1) || got.Key != "" {
			t.Fatalf("%+v, %v", got, rotateErr)
		}
	}
	all, err := f.reader.Accounts(ctx)
	if err != nil {
		t.Fatal(err)
	}
	keys := all.Accounts[0].Keys
	if len(keys) != 2 || keys[0].HashPrefix != Hash(first.Key)[:8] || keys[1].HashPrefix != Hash("mine")[:8] {
		t.Fatalf("keys %+v", keys)
	}
	if _, err = f.operator.RotateKey(ctx, "nobody", Rotation{ID: "r3", Name: "k"}); codeOf(err) != NotFound {
		t.Fatalf("got %v", err)
	}
}

// Guards against a top-up without an audit record, whichever write of the record fails, and against crediting a top-up
// twice.
func TestTopUpIsCreditedOnceAndAudited(t *testing.T) {
	for name, onWrite := range map[string]func(n int) (bool, error){
		"no fault":             nil,
		"record response lost": func(n int) (bool, error) { return true, loseResponse(n, 1) },
		"record not applied":   func(n int) (bool, error) { return n != 1, loseResponse(n, 1) },
		"record rejected":      func(int) (bool, error) { return false, laceplatform.ErrUnavailable },
		"result not written":   func(n int) (bool, error) { return n == 1, loseResponse(n, 2) },
		"every response lost":  func(int) (bool, error) { return true, laceplatform.ErrUnknown },
		"no write applied":     func(int) (bool, error) { return false, laceplatform.ErrUnknown },
	} {
		for _, appendErr := range []error{nil, laceplatform.ErrUnknown} {
			f, ctx := newFixture(t), context.Background()
			f.ledger.onAppend = func(laceledger.Record) error {
				if _, ok := f.platform.values[actionKey("t1")]; !ok {
					t.Errorf("%s: appended to the ledger before the audit record was written", name)
				}
				return appendErr
			}
			f.platform.onWrite = onWrite
			_, err := f.operator.TopUp(ctx, "bakery", TopUp{ID: "t1", Tokens: 500})
			_, recorded := f.platform.values[actionKey("t1")]
			if len(f.ledger.credited) > 0 && !recorded {
				t.Errorf("%s: credited without an audit record", name)
			}
			if err == nil && len(f.ledger.credited) == 0 {
				t.Errorf("%s: reported as done but not credited", name)
			}
			if singleLoss := name == "record response lost" || name == "record not applied"; singleLoss &&
				appendErr == nil && err != nil {
				t.Errorf("%s: a single lost response fails the call: %v", name, err)
			}
			f.platform.onWrite, appendErr = nil, nil
			if got, err := f.operator.TopUp(ctx, "bakery", TopUp{ID: "t1", Tokens: 500}); err != nil || got.Tokens != 500 {
				t.Errorf("%s: retry returned %+v, %v", name, got, err)
			}
			if len(f.ledger.credited) != 1 ||
				!strings.Contains(string(f.platform.values[actionKey("t1")].Value), "result: done") {
				t.Errorf("%s: credited %v, audit record %s", name, f.ledger.credited,
					f.platform.values[actionKey("t1")].Value)
			}
			if _, err := f.operator.TopUp(ctx, "bakery", TopUp{ID: "t1", Tokens: 501}); codeOf(err) != IDReused {
				t.Errorf("%s: same id with a different amount: %v", name, err)
			}
		}
	}
}

func loseResponse(n, failing int) error {
	if n == failing {
		return laceplatform.ErrUnknown
	}
	return nil
}

// Guards against fences, drains and releases of the wrong target, and against numbers that lose precision in JSON.
func TestFenceDrainReleaseAndReads(t *testing.T) {
	f, ctx := newFixture(t), context.Background()
	if _, err := f.operator.Fence(ctx, "i", "18446744073709551615", Order{ID: "f"}); err != nil ||
		len(f.fleet.fenced) != 1 || f.fleet.fenced[0].Incarnation != 1<<64-1 {
		t.Fatalf("%v, %v", f.fleet.fenced, err)
	}
	if _, err := f.operator.Drain(ctx, Order{ID: "d"}); err != nil || f.fleet.drained != 1 {
		t.Fatal(err)
	}
	if d, err := f.operator.Release(ctx, "bakery", "g", Order{ID: "l"}); err != nil || d.Tokens != 40 {
		t.Fatalf("%+v, %v", d, err)
	}
	g, err := f.reader.Grants(ctx, "bakery")
	if err != nil || len(g.Grants) != 1 || g.Grants[0].Incarnation != "1152921504606846976" {
		t.Fatalf("%+v, %v", g, err)
	}
	b, err := f.reader.Budget(ctx, "bakery")
	if err != nil || b.Remaining != 30 {
		t.Fatalf("%+v, %v", b, err)
	}
	if _, err = f.reader.Budget(ctx, "none"); codeOf(err) != NotFound {
		t.Fatalf("got %v", err)
	}
	if _, err = f.operator.TopUp(ctx, "none", TopUp{ID: "t", Tokens: 1}); codeOf(err) != NotFound {
		t.Fatalf("got %v", err)
	}
	if s, err := f.reader.Servers(ctx); err != nil || len(s.Servers) != 13 {
		t.Fatalf("%d servers, %v", len(s.Servers), err)
	}
	if i, err := f.reader.Instances(ctx); err != nil || len(i.Instances) != 1 {
		t.Fatalf("%+v, %v", i, err)
	}
}

// Guards against a client that does not fail over to the next instance, or that reports a request whose response was
// lost as not executed.
func TestClientFailover(t *testing.T) {
	f, ctx := newFixture(t), context.Background()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := l.Addr().String()
	l.Close()
	abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	defer abortingServer.Close()
	c := &Client{
		Addresses: []string{closedAddress, abortingServer.URL, f.address}, Token: "chief-token",
		HTTP: http.DefaultClient,
	}
	if _, err = c.TopUp(ctx, "bakery", TopUp{ID: "t", Tokens: 1}); err != nil {
		t.Fatal(err)
	}
	c.Addresses = []string{abortingServer.URL, closedAddress}
	if _, err = c.TopUp(ctx, "bakery", TopUp{ID: "t", Tokens: 1}); codeOf(err) != OutcomeUnknown {
		t.Fatalf("got %v", err)
	}
	if _, err = c.Show(ctx); codeOf(err) != Unavailable {
		t.Fatalf("got %v", err)
	}
	c.Addresses = []string{closedAddress}
	if _, err = c.TopUp(ctx, "bakery", TopUp{ID: "t", Tokens: 1}); codeOf(err) != Unavailable {
		t.Fatalf("got %v", err)
	}
}
