package lacepeer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// defaultDeadline bounds the silence of a peer.
	defaultDeadline = 2 * time.Second
	// transferDeadline bounds calls whose context has no earlier deadline. Their answers grow with the fleet: the bindings of 340
	// members are 8.4 MB, packed 10 KB.
	transferDeadline = 30 * time.Second
	// defaultCalls bounds the calls under way to one peer, so that a silent one can't hold all memory.
	defaultCalls = 256
	// maxPeers bounds the remembered addresses; the design scale has 340.
	maxPeers = 2048
)

// Option changes a client at construction.
type Option func(*Client)

// WithHTTP sets the HTTP client, for mutual TLS.
func WithHTTP(client *http.Client) Option { return func(c *Client) { c.http = client } }

// WithScheme sets the scheme of addresses that have none; http by default.
func WithScheme(scheme string) Option { return func(c *Client) { c.scheme = scheme } }

// WithDeadline sets how long a peer may be silent; a large request has the time that its size takes beside that.
func WithIdleTimeout(deadline time.Duration) Option { return func(c *Client) { c.deadline = deadline } }

// WithCalls sets how many calls to one peer may be under way.
func WithMaxCalls(calls int) Option { return func(c *Client) { c.calls = calls } }

// WithHook sets a fault hook, for tests.
func WithFaultHook(hook FaultHook) Option { return func(c *Client) { c.hook = hook } }

// Client calls other instances.
type Client struct {
	self     laceunit.InstanceID
	http     *http.Client
	scheme   string
	deadline time.Duration
	calls    int
	hook     FaultHook

	mu    sync.Mutex
	peers map[laceunit.Address]*remote
}

type remote struct {
	wire  lacewire.Peer
	slots chan struct{}
}

// NewClient returns a client for an instance.
func NewClient(self laceunit.InstanceID, options ...Option) *Client {
	c := &Client{
		self:     self,
		http:     &http.Client{},
		scheme:   "http",
		deadline: defaultDeadline,
		calls:    defaultCalls,
		hook:     func(_, _ laceunit.InstanceID) error { return nil },
		peers:    map[laceunit.Address]*remote{},
	}
	for _, o := range options {
		o(c)
	}
	c.http = patient(c.http, c.deadline)
	return c
}

// Call sends a message of the membership and returns the answer, which is nil where the message has none.
func (c *Client) Call(ctx context.Context, to lacemember.Member, message lacemember.Message) (lacemember.Message, error) {
	var answer lacemember.Message
	err := c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		var err error
		answer, err = call(ctx, p, to.Holder, message)
		return err
	})
	if err != nil {
		return nil, err
	}
	return answer, nil
}

func call(
	ctx context.Context,
	p lacewire.Peer,
	to laceunit.Holder,
	message lacemember.Message,
) (lacemember.Message, error) {
	switch m := message.(type) {
	case lacemember.PromiseAsk:
		r, err := p.Promise(ctx, lacewire.FromPromiseAsk(m, to))
		return lacewire.ToPromiseReply(r), err
	case lacemember.ProbeAsk:
		r, err := p.Probe(ctx, lacewire.FromProbeAsk(m, to))
		return lacewire.ToProbeReply(r), err
	case lacemember.AckAsk:
		r, err := p.Acknowledge(ctx, lacewire.FromAckAsk(m, to))
		return lacewire.ToAckReply(r), err
	case lacemember.ReleaseNote:
		_, err := p.Release(ctx, &lacewire.ReleaseRequest{
			From:  lacewire.FromHolder(m.Home),
			Round: m.Round,
		})
		return nil, err
	case lacemember.SealAsk:
		r, err := p.Seal(ctx, &lacewire.SealRequest{
			To:    lacewire.FromHolder(to),
			Owner: lacewire.FromHolder(m.Home),
		})
		return lacemember.SealReply{
			From:    lacewire.ToHolder(r.GetFrom()),
			Home:    m.Home,
			Flushed: r.GetFlushed(),
		}, err
	default:
		return nil, errors.Errorf("peer: message %T is an answer", message)
	}
}

// Copy implements lacejournal.Peer.
func (c *Client) Copy(ctx context.Context, to lacemember.Member, entries []lacejournal.Entry) error {
	return c.copy(ctx, to, &lacewire.CopyRequest{
		To:      lacewire.FromHolder(to.Holder),
		Entries: lacewire.FromEntries(entries),
	})
}

// Drop implements lacejournal.Peer.
func (c *Client) Drop(ctx context.Context, to lacemember.Member, drops []lacejournal.Drop) error {
	return c.copy(ctx, to, &lacewire.CopyRequest{
		To:    lacewire.FromHolder(to.Holder),
		Drops: lacewire.FromDrops(drops),
	})
}

func (c *Client) copy(ctx context.Context, to lacemember.Member, request *lacewire.CopyRequest) error {
	return c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		r, err := p.Copy(ctx, request)
		if err != nil {
			return err
		}
		return refusal(r.GetRefused())
	})
}

// Flush implements lacejournal.Peer.
func (c *Client) Flush(
	ctx context.Context,
	to lacemember.Member,
	entries []lacejournal.Entry,
) ([]laceledger.Result, error) {
	var results []laceledger.Result
	err := c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		r, err := p.Flush(ctx, &lacewire.FlushRequest{Entries: lacewire.FromEntries(entries)})
		for _, n := range r.GetResults() {
			results = append(results, laceledger.Result(n))
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	return results, nil
}

// Seal implements lacejournal.Peer.
func (c *Client) Seal(ctx context.Context, to lacemember.Member, owner laceunit.Holder) (bool, error) {
	flushed := false
	err := c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		r, err := p.Seal(ctx, &lacewire.SealRequest{
			To:    lacewire.FromHolder(to.Holder),
			Owner: lacewire.FromHolder(owner),
		})
		flushed = r.GetFlushed()
		return err
	})
	return flushed && err == nil, err
}

// Handover asks an instance for tokens of its offline part.
func (c *Client) Handover(ctx context.Context, to lacemember.Member, transferRequest TransferRequest) (Transfer, error) {
	var transfer Transfer
	err := c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		r, err := p.Handover(ctx, &lacewire.HandoverRequest{
			From:   lacewire.FromHolder(transferRequest.From),
			To:     lacewire.FromHolder(to.Holder),
			Budget: string(transferRequest.Budget),
			Tokens: int64(transferRequest.Tokens),
			Id:     transferRequest.ID,
		})
		transfer = Transfer{
			Grant:     laceunit.GrantID(r.GetGrant()),
			Holder:    lacewire.ToHolder(r.GetHolder()),
			Tokens:    laceunit.Tokens(r.GetTokens()),
			Witnesses: lacewire.ToHolders(r.GetWitnesses()),
		}
		return err
	})
	if err != nil {
		return Transfer{}, err
	}
	return transfer, nil
}

// do runs one call under the deadlines, the concurrency bound and the fault hook.
func (c *Client) do(ctx context.Context, to lacemember.Member, run func(context.Context, lacewire.Peer) error) error {
	if err := c.hook(c.self, to.Holder.Instance); err != nil {
		return err
	}
	r := c.remote(to.Address)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		return ErrBusy
	}
	call, cancel := context.WithTimeout(ctx, transferDeadline)
	defer cancel()
	if err := run(call, r.wire); err != nil {
		return convert(err)
	}
	return c.hook(to.Holder.Instance, c.self)
}

func (c *Client) remote(address laceunit.Address) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.peers[address]
	if r == nil {
		if len(c.peers) >= maxPeers {
			clear(c.peers)
		}
		base := string(address)
		if !strings.Contains(base, "://") {
			base = c.scheme + "://" + base
		}
		r = &remote{
			wire:  lacewire.NewPeerProtobufClient(base, c.http),
			slots: make(chan struct{}, c.calls),
		}
		c.peers[address] = r
	}
	return r
}

func convert(err error) error {
	var t twirp.Error
	if !errors.As(err, &t) {
		return err
	}
	switch t.Code() {
	case twirp.NotFound:
		return ErrIncarnationMismatch
	case twirp.ResourceExhausted:
		return ErrBusy
	default:
		return errors.Wrap(ErrFailed, t.Msg())
	}
}
