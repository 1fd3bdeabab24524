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

// fakeInstance records its calls and returns configured results.
type fakeInstance struct {
	self            laceunit.Holder
	received        []lacemember.Message
	reply           lacemember.Message
	entries         []lacejournal.Entry
	drops           []lacejournal.Drop
	acceptErr       error
	transferRequest TransferRequest
	block           chan struct{}
}

func (f *fakeInstance) Self() laceunit.Holder { return f.self }

func (f *fakeInstance) Receive(ctx context.Context, m lacemember.Message) (lacemember.Message, error) {
	if f.block != nil {
		select {
		case <-f.block:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	f.received = append(f.received, m)
	return f.reply, nil
}

func (f *fakeInstance) Accept(entries []lacejournal.Entry) error {
	f.entries = append(f.entries, entries...)
	return f.acceptErr
}

func (f *fakeInstance) Forget(drops []lacejournal.Drop) { f.drops = append(f.drops, drops...) }

func (f *fakeInstance) Submit(_ context.Context, entries []lacejournal.Entry) ([]laceledger.Result, error) {
	f.entries = append(f.entries, entries...)
	return []laceledger.Result{laceledger.Accepted, 0}, errors.New("one failed")
}

func (f *fakeInstance) HandleTransferRequest(_ context.Context, transferRequest TransferRequest) (Transfer, error) {
	f.transferRequest = transferRequest
	return Transfer{
		Grant:     "g",
		Holder:    f.self,
		Tokens:    transferRequest.Tokens / 2,
		Witnesses: []laceunit.Holder{{Instance: "w", Incarnation: 3}},
	}, nil
}

func newTestServer(t *testing.T, options ...Option) (*fakeInstance, *Client, lacemember.Member) {
	t.Helper()
	f := &fakeInstance{self: laceunit.Holder{Instance: "b", Incarnation: 1 << 60}}
	server := httptest.NewServer(NewHandler(f, f, f))
	t.Cleanup(server.Close)
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	c := NewClient("a", append([]Option{WithHTTP(&http.Client{Transport: transport})}, options...)...)
	return f, c, lacemember.Member{Holder: f.self, Address: laceunit.Address(strings.TrimPrefix(server.URL, "http://"))}
}

func sampleRecord() lacemember.Record {
	member := func(name string, incarnation laceunit.Incarnation) lacemember.Member {
		return lacemember.Member{
			Holder:    laceunit.Holder{Instance: laceunit.InstanceID(name), Incarnation: incarnation},
			Address:   laceunit.Address(name + ":1"),
			Place:     laceunit.Place{Region: "r", Zone: "z"},
			JoinEpoch: 4,
		}
	}
	return lacemember.Record{
		Epoch:       9,
		LastRemoval: 7,
		Members:     []lacemember.Member{member("a", 5), member("b", 1<<60)},
		Departed:    []lacemember.Member{member("c", 2)},
		Fenced:      []laceunit.Holder{{Instance: "d", Incarnation: 1}},
	}
}

// Guards against a field that the mapping to the wire loses, which would invalidate a promise, a binding or a record.
func TestMessagesRoundTrip(t *testing.T) {
	f, c, to := newTestServer(t)
	r := sampleRecord()
	home := r.Members[0].Holder
	for _, test := range []struct{ request, reply lacemember.Message }{
		{lacemember.PromiseAsk{Home: home, Epoch: 9, Round: 3, Record: r}, lacemember.PromiseReply{
			From: f.self, Granted: true, PlatformReachable: true, NeedsRecord: true, Epoch: 9, Round: 3,
			Started: []lacemember.Key{1, 1 << 63}, Record: r,
		}},
		{lacemember.ProbeAsk{From: home, Epoch: 8}, lacemember.ProbeReply{
			From: f.self, Epoch: 9, PlatformReachable: true, ReleasedRound: 2, Record: r,
		}},
		{lacemember.AckAsk{From: home, Record: r}, lacemember.AckReply{
			From: f.self, Acknowledged: true, Epoch: 9,
			Bindings: []lacemember.Binding{{Home: r.Members[0], Round: 3, Record: r}},
		}},
		{lacemember.SealAsk{Home: home}, lacemember.SealReply{From: f.self, Home: home, Flushed: true}},
		{lacemember.ReleaseNote{Home: home, Round: 3}, nil},
	} {
		f.received, f.reply = nil, test.reply
		got, err := c.Call(context.Background(), to, test.request)
		if err != nil || !reflect.DeepEqual(got, test.reply) ||
			!reflect.DeepEqual(f.received, []lacemember.Message{test.request}) {
			t.Errorf("%T: received %+v, replied %+v, %v", test.request, f.received, got, err)
		}
	}
}

// Guards against a lost field of an entry, and against a rejected copy that looks like a successful one.
func TestEntriesRoundTrip(t *testing.T) {
	f, c, to := newTestServer(t)
	e := lacejournal.Entry{
		Owner:  laceunit.Holder{Instance: "a", Incarnation: 5},
		Holder: laceunit.Holder{Instance: "h", Incarnation: 6},
		Serial: 8,
		Record: laceledger.Offline{
			Budget: "b", Request: laceledger.Request{Account: "c", ID: "r"}, Digest: "d", Grant: "g", Attempt: "t", Server: "s",
			Tokens: 77, Idempotent: true, Finished: true,
			Response: &laceledger.Response{Status: 201, ContentType: "x/y", Body: []byte("z")}, At: 9,
		},
	}
	d := lacejournal.Drop{Owner: e.Owner, Request: e.Record.Request, Serial: 8}
	ctx := context.Background()
	if err := c.Copy(ctx, to, []lacejournal.Entry{e}); err != nil ||
		!reflect.DeepEqual(f.entries, []lacejournal.Entry{e}) {
		t.Fatalf("%v, %+v", err, f.entries)
	}
	if err := c.Drop(ctx, to, []lacejournal.Drop{d}); err != nil || !reflect.DeepEqual(f.drops, []lacejournal.Drop{d}) {
		t.Fatalf("%v, %+v", err, f.drops)
	}
	results, err := c.Flush(ctx, to, []lacejournal.Entry{e, e})
	if err != nil || !reflect.DeepEqual(results, []laceledger.Result{laceledger.Accepted, 0}) {
		t.Fatalf("%v, %v", results, err)
	}
	for _, want := range []error{lacejournal.ErrSealed, lacejournal.ErrFull, lacejournal.ErrNotFound} {
		f.acceptErr = want
		if err = c.Copy(ctx, to, []lacejournal.Entry{e}); !errors.Is(err, want) {
			t.Errorf("want error %v, got %v", want, err)
		}
	}
	transfer, err := c.Handover(ctx, to, TransferRequest{From: e.Owner, Budget: "b", Tokens: 10, ID: "1"})
	if err != nil || transfer.Tokens != 5 || transfer.Holder != f.self ||
		transfer.Witnesses[0].Incarnation != 3 || f.transferRequest.ID != "1" {
		t.Fatalf("%+v, %v", transfer, err)
	}
}

// Guards against a restarted process that responds to calls addressed to its predecessor.
func TestCallToRestartedInstanceFails(t *testing.T) {
	f, c, to := newTestServer(t)
	to.Holder.Incarnation--
	ctx := context.Background()
	_, promiseErr := c.Call(ctx, to, lacemember.PromiseAsk{Epoch: 1})
	_, sealErr := c.Seal(ctx, to, laceunit.Holder{})
	_, transferErr := c.Handover(ctx, to, TransferRequest{})
	for i, err := range []error{promiseErr, sealErr, transferErr, c.Copy(ctx, to, nil)} {
		if !errors.Is(err, ErrIncarnationMismatch) {
			t.Errorf("call %d: %v", i, err)
		}
	}
	if len(f.received) > 0 {
		t.Errorf("received %v", f.received)
	}
}

// Guards against an unlimited number of calls to an unresponsive peer, and against a call that exceeds its timeout.
func TestUnresponsivePeerIsBounded(t *testing.T) {
	f, c, to := newTestServer(t, WithMaxCalls(1), WithIdleTimeout(50*time.Millisecond))
	f.block = make(chan struct{})
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

// Guards against a fault hook that does not distinguish the directions: the peer executes a call whose response is
// dropped, but not one whose request is dropped.
func TestFaultHookAppliesToEachDirection(t *testing.T) {
	var blocked [2]laceunit.InstanceID
	f, c, to := newTestServer(t, WithFaultHook(func(from, to laceunit.InstanceID) error {
		if blocked == [2]laceunit.InstanceID{from, to} {
			return ErrInjectedFault
		}
		return nil
	}))
	f.reply = lacemember.ProbeReply{}
	for i, direction := range [][2]laceunit.InstanceID{{"a", "b"}, {"b", "a"}} {
		blocked = direction
		if _, err := c.Call(context.Background(), to, lacemember.ProbeAsk{}); !errors.Is(err, ErrInjectedFault) ||
			len(f.received) != i {
			t.Fatalf("%v: %v, %d calls", direction, err, len(f.received))
		}
	}
}
