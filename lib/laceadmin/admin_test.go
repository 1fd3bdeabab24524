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

func code(err error) Code {
	var f *Fault
	if errors.As(err, &f) {
		return f.Code
	}
	return ""
}

// Guards against changes by someone without a token or without the right for them.
func TestRights(t *testing.T) {
	r, ctx := newFixture(t), context.Background()
	stranger := &Client{Addresses: []string{r.address}, Token: "guess", HTTP: http.DefaultClient}
	for name, f := range map[string]func(c *Client) error{
		"apply":   func(c *Client) error { _, err := c.Apply(ctx, Proposal{ID: "x", Text: "models: {}"}); return err },
		"rotate":  func(c *Client) error { _, err := c.RotateKey(ctx, "bakery", Rotation{ID: "x", Name: "n"}); return err },
		"topup":   func(c *Client) error { _, err := c.TopUp(ctx, "bakery", TopUp{ID: "x", Tokens: 5}); return err },
		"release": func(c *Client) error { _, err := c.Release(ctx, "bakery", "g", Order{ID: "x"}); return err },
		"fence":   func(c *Client) error { _, err := c.Fence(ctx, "i", "7", Order{ID: "x"}); return err },
		"drain":   func(c *Client) error { _, err := c.Drain(ctx, Order{ID: "x"}); return err },
	} {
		if err := f(r.reader); code(err) != Forbidden {
			t.Errorf("%s by a reader: %v", name, err)
		}
		if err := f(stranger); code(err) != Unauthorized {
			t.Errorf("%s by a stranger: %v", name, err)
		}
	}
	if _, err := stranger.Show(ctx); code(err) != Unauthorized {
		t.Errorf("show to a stranger: %v", err)
	}
	if r.platform.writes != 0 || r.fleet.drained != 0 || len(r.fleet.fenced) != 0 {
		t.Errorf("a refused call left %d writes", r.platform.writes)
	}
}

// Guards against a file whose unchanged foreign sections are refused, and a foreign change that is not.
func TestApplyWithinRights(t *testing.T) {
	r, ctx := newFixture(t), context.Background()
	d, err := r.reader.Show(ctx)
	if err != nil {
		t.Fatal(err)
	}
	mine := strings.Replace(d.Text, "waiting: 512", "waiting: 7", 1)
	out, err := r.reader.Apply(ctx, Proposal{ID: "a", Text: mine})
	if err != nil || out.Version != 2 || len(out.Changes) != 1 {
		t.Fatalf("%+v, %v", out, err)
	}
	foreign := strings.Replace(d.Text, "queue: 256", "queue: 1", 1)
	if _, err = r.reader.Apply(ctx, Proposal{ID: "b", Text: foreign}); code(err) != Forbidden {
		t.Fatalf("got %v", err)
	}
	stale := strings.Replace(d.Text, "waiting: 512", "waiting: 8", 1)
	if _, err = r.operator.Apply(ctx, Proposal{ID: "c", Text: stale}); code(err) != Conflict {
		t.Fatalf("got %v", err)
	}
	_, err = r.operator.Plan(ctx, Proposal{Text: "models:\n  m: {context: 1}\n"})
	var f *Fault
	if !errors.As(err, &f) || f.Code != InvalidDocument || len(f.Faults) != 1 || f.Faults[0].Line != 2 {
		t.Fatalf("got %v", err)
	}
	h, err := r.reader.History(ctx, 0, 5)
	if err != nil || len(h.Records) != 2 || h.Records[0].Author != "reader" {
		t.Fatalf("%+v, %v", h, err)
	}
}

// Guards against a key that is stored, kept out of force, shown twice or added twice.
func TestRotate(t *testing.T) {
	r, ctx := newFixture(t), context.Background()
	first, err := r.operator.RotateKey(ctx, "bakery", Rotation{ID: "r1", Name: "second"})
	if err != nil || first.Key == "" {
		t.Fatalf("%+v, %v", first, err)
	}
	for k, e := range r.platform.values {
		if strings.Contains(string(e.Value), first.Key) {
			t.Fatalf("%s holds the key", k)
		}
	}
	if again, again2 := r.operator.RotateKey(ctx, "bakery", Rotation{ID: "r1", Name: "second"}); code(again2) != IDReused || again.Key != "" {
		t.Fatalf("%+v, %v", again, again2)
	}
	mine := Rotation{ID: "r2", Name: "third", Hash: Hash("mine"), Drop: []string{"main"}}
	for i := range 2 {
		got, again := r.operator.RotateKey(ctx, "bakery", mine)
		if again != nil || got.Version != 3 || got.Repeated != (i == 1) || got.Key != "" {
			t.Fatalf("%+v, %v", got, again)
		}
	}
	all, err := r.reader.Accounts(ctx)
	if err != nil {
		t.Fatal(err)
	}
	keys := all.Accounts[0].Keys
	if len(keys) != 2 || keys[0].HashPrefix != Hash(first.Key)[:8] || keys[1].HashPrefix != Hash("mine")[:8] {
		t.Fatalf("keys %+v", keys)
	}
	if _, err = r.operator.RotateKey(ctx, "nobody", Rotation{ID: "r3", Name: "k"}); code(err) != NotFound {
		t.Fatalf("got %v", err)
	}
}

// Guards against a top-up without its audit record, whichever write is the last one, and against crediting twice.
func TestTopUpNeverWithoutRecord(t *testing.T) {
	for name, script := range map[string]func(n int) (bool, error){
		"all answered":          nil,
		"record answer lost":    func(n int) (bool, error) { return true, lostAt(n, 1) },
		"record dropped":        func(n int) (bool, error) { return n != 1, lostAt(n, 1) },
		"record refused":        func(int) (bool, error) { return false, laceplatform.ErrUnavailable },
		"result not written":    func(n int) (bool, error) { return n == 1, lostAt(n, 2) },
		"every answer lost":     func(int) (bool, error) { return true, laceplatform.ErrUnknown },
		"every write forgotten": func(int) (bool, error) { return false, laceplatform.ErrUnknown },
	} {
		for _, after := range []error{nil, laceplatform.ErrUnknown} {
			r, ctx := newFixture(t), context.Background()
			r.ledger.before = func(laceledger.Record) error {
				if _, ok := r.platform.values[actionKey("t1")]; !ok {
					t.Errorf("%s: the ledger is told before the record is written", name)
				}
				return after
			}
			r.platform.script = script
			_, err := r.operator.TopUp(ctx, "bakery", TopUp{ID: "t1", Tokens: 500})
			_, recorded := r.platform.values[actionKey("t1")]
			if len(r.ledger.paid) > 0 && !recorded {
				t.Errorf("%s: paid without a record", name)
			}
			if err == nil && len(r.ledger.paid) == 0 {
				t.Errorf("%s: reported as done", name)
			}
			if single := name == "record answer lost" || name == "record dropped"; single && after == nil && err != nil {
				t.Errorf("%s: a single lost answer fails the call: %v", name, err)
			}
			r.platform.script, after = nil, nil
			if got, err := r.operator.TopUp(ctx, "bakery", TopUp{ID: "t1", Tokens: 500}); err != nil || got.Tokens != 500 {
				t.Errorf("%s: repeat %+v, %v", name, got, err)
			}
			if len(r.ledger.paid) != 1 || !strings.Contains(string(r.platform.values[actionKey("t1")].Value), "result: done") {
				t.Errorf("%s: paid %v, record %s", name, r.ledger.paid, r.platform.values[actionKey("t1")].Value)
			}
			if _, err := r.operator.TopUp(ctx, "bakery", TopUp{ID: "t1", Tokens: 501}); code(err) != IDReused {
				t.Errorf("%s: other tokens under the id: %v", name, err)
			}
		}
	}
}

func lostAt(n, at int) error {
	if n == at {
		return laceplatform.ErrUnknown
	}
	return nil
}

// Guards against fences, drains and releases that go to the wrong target or lose their numbers on the way.
func TestOtherCalls(t *testing.T) {
	r, ctx := newFixture(t), context.Background()
	if _, err := r.operator.Fence(ctx, "i", "18446744073709551615", Order{ID: "f"}); err != nil || len(r.fleet.fenced) != 1 ||
		r.fleet.fenced[0].Incarnation != 1<<64-1 {
		t.Fatalf("%v, %v", r.fleet.fenced, err)
	}
	if _, err := r.operator.Drain(ctx, Order{ID: "d"}); err != nil || r.fleet.drained != 1 {
		t.Fatal(err)
	}
	if d, err := r.operator.Release(ctx, "bakery", "g", Order{ID: "l"}); err != nil || d.Tokens != 40 {
		t.Fatalf("%+v, %v", d, err)
	}
	g, err := r.reader.Grants(ctx, "bakery")
	if err != nil || len(g.Grants) != 1 || g.Grants[0].Incarnation != "1152921504606846976" {
		t.Fatalf("%+v, %v", g, err)
	}
	b, err := r.reader.Budget(ctx, "bakery")
	if err != nil || b.Remaining != 30 {
		t.Fatalf("%+v, %v", b, err)
	}
	if _, err = r.reader.Budget(ctx, "none"); code(err) != NotFound {
		t.Fatalf("got %v", err)
	}
	if _, err = r.operator.TopUp(ctx, "none", TopUp{ID: "t", Tokens: 1}); code(err) != NotFound {
		t.Fatalf("got %v", err)
	}
	if s, err := r.reader.Servers(ctx); err != nil || len(s.Servers) != 13 {
		t.Fatalf("%d servers, %v", len(s.Servers), err)
	}
	if i, err := r.reader.Instances(ctx); err != nil || len(i.Instances) != 1 {
		t.Fatalf("%+v, %v", i, err)
	}
}

// Guards against a client that gives up at the first instance, or reports a lost answer as not done.
func TestClientTriesInOrder(t *testing.T) {
	r, ctx := newFixture(t), context.Background()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := l.Addr().String()
	l.Close()
	cutting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cutting.Close()
	c := &Client{Addresses: []string{closed, cutting.URL, r.address}, Token: "chief-token", HTTP: http.DefaultClient}
	if _, err = c.TopUp(ctx, "bakery", TopUp{ID: "t", Tokens: 1}); err != nil {
		t.Fatal(err)
	}
	c.Addresses = []string{cutting.URL, closed}
	if _, err = c.TopUp(ctx, "bakery", TopUp{ID: "t", Tokens: 1}); code(err) != OutcomeUnknown {
		t.Fatalf("got %v", err)
	}
	if _, err = c.Show(ctx); code(err) != Unavailable {
		t.Fatalf("got %v", err)
	}
	c.Addresses = []string{closed}
	if _, err = c.TopUp(ctx, "bakery", TopUp{ID: "t", Tokens: 1}); code(err) != Unavailable {
		t.Fatalf("got %v", err)
	}
}
