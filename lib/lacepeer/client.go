package lacepeer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// defaultIdleTimeout bounds the time in which a peer sends no data.
	defaultIdleTimeout = 2 * time.Second
	// maxCallDuration bounds calls whose context has no earlier deadline. Their responses grow with the fleet: the
	// bindings of 340 members take 8.4 MB, or 10 KB when packed.
	maxCallDuration = 30 * time.Second
	// defaultMaxCalls bounds the concurrent calls to one peer, so that an unresponsive peer can't use up the memory.
	defaultMaxCalls = 256
	// maxResponseBytes bounds a response of a client without options.
	maxResponseBytes = 64 << 20
	// maxPeers bounds the addresses with a cached client; the design scale is 340 peers.
	maxPeers = 2048
)

// Option changes a client at construction.
type Option func(*Client)

// WithHTTP sets the HTTP client, for example for mutual TLS.
func WithHTTP(client *http.Client) Option { return func(c *Client) { c.http = client } }

// WithScheme sets the scheme of addresses without one; the default is http.
func WithScheme(scheme string) Option { return func(c *Client) { c.scheme = scheme } }

// WithIdleTimeout sets how long a peer may send no data. A request gets additional time in proportion to its size, so
// that a large one completes on a slow link.
func WithIdleTimeout(timeout time.Duration) Option {
	return func(c *Client) { c.idleTimeout = timeout }
}

// WithMaxCalls sets the limit of concurrent calls to one peer.
func WithMaxCalls(limit int) Option { return func(c *Client) { c.maxCalls = limit } }

// WithFaultHook sets a hook for fault injection in tests.
func WithFaultHook(hook FaultHook) Option { return func(c *Client) { c.faultHook = hook } }

// Client calls other instances.
type Client struct {
	self        laceunit.InstanceID
	http        *http.Client
	scheme      string
	idleTimeout time.Duration
	maxCalls    int
	faultHook   FaultHook

	mu    sync.Mutex
	peers map[laceunit.Address]*remote
}

type remote struct {
	client lacewire.Peer
	slots  chan struct{}
}

// NewClient returns a client for an instance.
func NewClient(self laceunit.InstanceID, options ...Option) *Client {
	c := &Client{
		self:        self,
		http:        &http.Client{Transport: laceconn.NewTransport(&http.Transport{}, maxResponseBytes)},
		scheme:      "http",
		idleTimeout: defaultIdleTimeout,
		maxCalls:    defaultMaxCalls,
		faultHook:   func(_, _ laceunit.InstanceID) error { return nil },
		peers:       map[laceunit.Address]*remote{},
	}
	for _, o := range options {
		o(c)
	}
	c.http = withTransport(c.http, c.idleTimeout)
	return c
}

// Call sends a membership message and returns the reply, which is nil for a message without one.
func (c *Client) Call(
	ctx context.Context,
	to lacemember.Member,
	message lacemember.Message,
) (lacemember.Message, error) {
	var reply lacemember.Message
	err := c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		var err error
		reply, err = send(ctx, p, to.Holder, message)
		return err
	})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func send(
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
		return nil, errors.Errorf("peer: message %T is not a request", message)
	}
}

// Copy implements lacejournal.Peer.
func (c *Client) Copy(ctx context.Context, to lacemember.Member, entries []lacejournal.Entry) error {
	return c.copy(ctx, to, &lacewire.CopyRequest{
		To:      lacewire.FromHolder(to.Holder),
		Entries: lacewire.FromJournalEntries(entries),
	})
}

// Drop implements lacejournal.Peer.
func (c *Client) Drop(ctx context.Context, to lacemember.Member, drops []lacejournal.Drop) error {
	return c.copy(ctx, to, &lacewire.CopyRequest{
		To:    lacewire.FromHolder(to.Holder),
		Drops: lacewire.FromJournalDrops(drops),
	})
}

func (c *Client) copy(ctx context.Context, to lacemember.Member, request *lacewire.CopyRequest) error {
	return c.do(ctx, to, func(ctx context.Context, p lacewire.Peer) error {
		r, err := p.Copy(ctx, request)
		if err != nil {
			return err
		}
		return refusalError(r.GetRefused())
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
		r, err := p.Flush(ctx, &lacewire.FlushRequest{Entries: lacewire.FromJournalEntries(entries)})
		for _, result := range r.GetResults() {
			results = append(results, laceledger.Result(result))
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

// Handover requests tokens from the offline part of an instance's grants.
func (c *Client) Handover(
	ctx context.Context,
	to lacemember.Member,
	transferRequest TransferRequest,
) (Transfer, error) {
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

// do runs one call with the deadline, the concurrency limit and the fault hook.
func (c *Client) do(ctx context.Context, to lacemember.Member, run func(context.Context, lacewire.Peer) error) error {
	if err := c.faultHook(c.self, to.Holder.Instance); err != nil {
		return err
	}
	r := c.remote(to.Address)
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	default:
		return ErrBusy
	}
	callCtx, cancel := context.WithTimeout(ctx, maxCallDuration)
	defer cancel()
	if err := run(callCtx, r.client); err != nil {
		return convertError(err)
	}
	return c.faultHook(to.Holder.Instance, c.self)
}

func (c *Client) remote(address laceunit.Address) *remote {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.peers[address]
	if r == nil {
		if len(c.peers) >= maxPeers {
			clear(c.peers)
		}
		url := string(address)
		if !strings.Contains(url, "://") {
			url = c.scheme + "://" + url
		}
		r = &remote{
			client: lacewire.NewPeerProtobufClient(url, c.http),
			slots:  make(chan struct{}, c.maxCalls),
		}
		c.peers[address] = r
	}
	return r
}

func convertError(err error) error {
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
