package lacepeer

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// process records what it is called with and answers as it is told.
type process struct {
	self            laceunit.Holder
	took            []lacemember.Message
	answer          lacemember.Message
	entries         []lacejournal.Entry
	drops           []lacejournal.Drop
	refuse          error
	transferRequest TransferRequest
	wait            chan struct{}
}

func (p *process) Self() laceunit.Holder { return p.self }

func (p *process) Receive(ctx context.Context, m lacemember.Message) (lacemember.Message, error) {
	if p.wait != nil {
		select {
		case <-p.wait:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	p.took = append(p.took, m)
	return p.answer, nil
}

func (p *process) Accept(entries []lacejournal.Entry) error {
	p.entries = append(p.entries, entries...)
	return p.refuse
}

func (p *process) Forget(drops []lacejournal.Drop) { p.drops = append(p.drops, drops...) }

func (p *process) Submit(_ context.Context, entries []lacejournal.Entry) ([]laceledger.Result, error) {
	p.entries = append(p.entries, entries...)
	return []laceledger.Result{laceledger.Accepted, 0}, errors.New("one failed")
}

func (p *process) Give(_ context.Context, transferRequest TransferRequest) (Transfer, error) {
	p.transferRequest = transferRequest
	return Transfer{Grant: "g", Holder: p.self, Tokens: transferRequest.Tokens / 2, Witnesses: []laceunit.Holder{{Instance: "w", Incarnation: 3}}}, nil
}

func serve(t *testing.T, options ...Option) (*process, *Client, lacemember.Member) {
	t.Helper()
	p := &process{self: laceunit.Holder{Instance: "b", Incarnation: 1 << 60}}
	server := httptest.NewServer(NewHandler(p, p, p))
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	c := NewClient("a", append([]Option{WithHTTP(&http.Client{Transport: transport})}, options...)...)
	return p, c, lacemember.Member{Holder: p.self, Address: laceunit.Address(strings.TrimPrefix(server.URL, "http://"))}
}

func sample() lacemember.Record {
	m := func(name string, n laceunit.Incarnation) lacemember.Member {
		return lacemember.Member{
			Holder:    laceunit.Holder{Instance: laceunit.InstanceID(name), Incarnation: n},
			Address:   laceunit.Address(name + ":1"),
			Place:     laceunit.Place{Region: "r", Zone: "z"},
			JoinEpoch: 4,
		}
	}
	return lacemember.Record{
		Epoch:       9,
		LastRemoval: 7,
		Members:     []lacemember.Member{m("a", 5), m("b", 1<<60)},
		Departed:    []lacemember.Member{m("c", 2)},
		Fenced:      []laceunit.Holder{{Instance: "d", Incarnation: 1}},
	}
}

// Guards against a field that the mapping loses, which would void a promise, a binding or a record.
func TestMessagesSurviveTheWire(t *testing.T) {
	p, c, to := serve(t)
	r := sample()
	home := r.Members[0].Holder
	for _, x := range []struct{ ask, answer lacemember.Message }{
		{lacemember.PromiseAsk{Home: home, Epoch: 9, Round: 3, Record: r}, lacemember.PromiseReply{
			From: p.self, Granted: true, PlatformReachable: true, NeedsRecord: true, Epoch: 9, Round: 3, Started: []lacemember.Key{1, 1 << 63}, Record: r,
		}},
		{lacemember.ProbeAsk{From: home, Epoch: 8}, lacemember.ProbeReply{From: p.self, Epoch: 9, PlatformReachable: true, ReleasedRound: 2, Record: r}},
		{lacemember.AckAsk{From: home, Record: r}, lacemember.AckReply{
			From: p.self, Acknowledged: true, Epoch: 9, Bindings: []lacemember.Binding{{Home: r.Members[0], Round: 3, Record: r}},
		}},
		{lacemember.SealAsk{Home: home}, lacemember.SealReply{From: p.self, Home: home, Flushed: true}},
		{lacemember.ReleaseNote{Home: home, Round: 3}, nil},
	} {
		p.took, p.answer = nil, x.answer
		got, err := c.Call(context.Background(), to, x.ask)
		if err != nil || !reflect.DeepEqual(got, x.answer) || !reflect.DeepEqual(p.took, []lacemember.Message{x.ask}) {
			t.Errorf("%T: took %+v, answered %+v, %v", x.ask, p.took, got, err)
		}
	}
}

// Guards against a lost field of an entry, and against a refusal that looks like a copy.
func TestEntriesSurviveTheWire(t *testing.T) {
	p, c, to := serve(t)
	e := lacejournal.Entry{
		Owner:  laceunit.Holder{Instance: "a", Incarnation: 5},
		Holder: laceunit.Holder{Instance: "h", Incarnation: 6},
		Serial: 8,
		Record: laceledger.Offline{
			Budget: "b", Request: laceledger.Request{Account: "c", ID: "r"}, Digest: "d", Grant: "g", Attempt: "t", Server: "s",
			Tokens: 77, Idempotent: true, Finished: true, Response: &laceledger.Response{Status: 201, ContentType: "x/y", Body: []byte("z")}, At: 9,
		},
	}
	d := lacejournal.Drop{Owner: e.Owner, Request: e.Record.Request, Serial: 8}
	ctx := context.Background()
	if err := c.Copy(ctx, to, []lacejournal.Entry{e}); err != nil || !reflect.DeepEqual(p.entries, []lacejournal.Entry{e}) {
		t.Fatalf("%v, %+v", err, p.entries)
	}
	if err := c.Drop(ctx, to, []lacejournal.Drop{d}); err != nil || !reflect.DeepEqual(p.drops, []lacejournal.Drop{d}) {
		t.Fatalf("%v, %+v", err, p.drops)
	}
	results, err := c.Flush(ctx, to, []lacejournal.Entry{e, e})
	if err != nil || !reflect.DeepEqual(results, []laceledger.Result{laceledger.Accepted, 0}) {
		t.Fatalf("%v, %v", results, err)
	}
	for _, refuse := range []error{lacejournal.ErrSealed, lacejournal.ErrFull, lacejournal.ErrNotFound} {
		p.refuse = refuse
		if err = c.Copy(ctx, to, []lacejournal.Entry{e}); !errors.Is(err, refuse) {
			t.Errorf("%v became %v", refuse, err)
		}
	}
	g, err := c.Handover(ctx, to, TransferRequest{From: e.Owner, Budget: "b", Tokens: 10, ID: "1"})
	if err != nil || g.Tokens != 5 || g.Holder != p.self || g.Witnesses[0].Incarnation != 3 || p.transferRequest.ID != "1" {
		t.Fatalf("%+v, %v", g, err)
	}
}

// Guards against a restarted process that answers for the one before it.
func TestOtherProcessAnswersGone(t *testing.T) {
	p, c, to := serve(t)
	to.Holder.Incarnation--
	ctx := context.Background()
	_, promise := c.Call(ctx, to, lacemember.PromiseAsk{Epoch: 1})
	_, seal := c.Seal(ctx, to, laceunit.Holder{})
	_, transfer := c.Handover(ctx, to, TransferRequest{})
	for i, err := range []error{promise, seal, transfer, c.Copy(ctx, to, nil)} {
		if !errors.Is(err, ErrIncarnationMismatch) {
			t.Errorf("call %d: %v", i, err)
		}
	}
	if len(p.took) > 0 {
		t.Errorf("took %v", p.took)
	}
}

// Guards against calls without bound to a silent peer, and against one that outlives its deadline.
func TestSilentPeerIsBounded(t *testing.T) {
	p, c, to := serve(t, WithMaxCalls(1), WithIdleTimeout(50*time.Millisecond))
	p.wait = make(chan struct{})
	r := c.remote(to.Address)
	r.slots <- struct{}{}
	if _, err := c.Call(context.Background(), to, lacemember.ProbeAsk{}); !errors.Is(err, ErrBusy) {
		t.Fatalf("got %v", err)
	}
	<-r.slots
	if _, err := c.Call(context.Background(), to, lacemember.ProbeAsk{}); !errors.Is(err, ErrFailed) {
		t.Fatalf("got %v", err)
	}
}

// Guards against a fault hook that cuts only one direction's symptom: the work of a call whose answer is lost is done.
func TestHookCutsEachDirection(t *testing.T) {
	var cut [2]laceunit.InstanceID
	p, c, to := serve(t, WithFaultHook(func(from, to laceunit.InstanceID) error {
		if cut == [2]laceunit.InstanceID{from, to} {
			return ErrInjectedFault
		}
		return nil
	}))
	p.answer = lacemember.ProbeReply{}
	for i, way := range [][2]laceunit.InstanceID{{"a", "b"}, {"b", "a"}} {
		cut = way
		if _, err := c.Call(context.Background(), to, lacemember.ProbeAsk{}); !errors.Is(err, ErrInjectedFault) || len(p.took) != i {
			t.Fatalf("%v: %v, %d calls", way, err, len(p.took))
		}
	}
}
