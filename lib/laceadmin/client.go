package laceadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// Client calls the API of any of several instances.
type Client struct {
	// Addresses are host:port or base URLs, tried in order.
	Addresses []string
	Token     string
	// HTTP makes the calls; its timeout bounds each of them.
	HTTP *http.Client
}

// Show returns the configuration.
func (c *Client) Show(ctx context.Context) (Document, error) {
	return get[Document](ctx, c, "config")
}

// Plan returns what a file would change.
func (c *Client) Plan(ctx context.Context, p Proposal) (EditResult, error) {
	return post[EditResult](ctx, c, "config/plan", p)
}

// Apply carries an edit out.
func (c *Client) Apply(ctx context.Context, p Proposal) (EditResult, error) {
	return post[EditResult](ctx, c, "config/apply", p)
}

// History returns records from a version downwards; zero starts at the newest.
func (c *Client) History(ctx context.Context, from uint64, limit int) (History, error) {
	return get[History](ctx, c, "config/history?from="+strconv.FormatUint(from, 10)+"&limit="+strconv.Itoa(limit))
}

// Accounts lists client accounts.
func (c *Client) Accounts(ctx context.Context) (Accounts, error) {
	return get[Accounts](ctx, c, "accounts")
}

// Rotate adds an API key to a client account.
func (c *Client) RotateKey(ctx context.Context, account string, r Rotation) (RotationResult, error) {
	return post[RotationResult](ctx, c, "accounts/"+url.PathEscape(account)+"/rotate", r)
}

// Budgets lists budgets without their grants.
func (c *Client) Budgets(ctx context.Context) (Budgets, error) {
	return get[Budgets](ctx, c, "budgets")
}

// Budget returns one budget.
func (c *Client) Budget(ctx context.Context, budget string) (Budget, error) {
	return get[Budget](ctx, c, "budgets/"+url.PathEscape(budget))
}

// TopUp adds paid tokens to a budget.
func (c *Client) TopUp(ctx context.Context, budget string, t TopUp) (ActionResult, error) {
	return post[ActionResult](ctx, c, "budgets/"+url.PathEscape(budget)+"/topup", t)
}

// Grants lists the grants of a budget, or of all budgets when it is empty.
func (c *Client) Grants(ctx context.Context, budget string) (Grants, error) {
	return get[Grants](ctx, c, "grants?budget="+url.QueryEscape(budget))
}

// Release returns what a closed grant still holds to its budget.
func (c *Client) Release(ctx context.Context, budget, grant string, o Order) (ActionResult, error) {
	return post[ActionResult](ctx, c, "budgets/"+url.PathEscape(budget)+"/grants/"+url.PathEscape(grant)+"/release", o)
}

// Instances lists the instances of the membership.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	return get[Instances](ctx, c, "instances")
}

// Fence declares that an incarnation is gone for good.
func (c *Client) Fence(ctx context.Context, instance, incarnation string, o Order) (ActionResult, error) {
	return post[ActionResult](ctx, c, "instances/"+url.PathEscape(instance)+"/"+url.PathEscape(incarnation)+"/fence", o)
}

// Drain starts the planned stop of the one instance that the client has the address of.
func (c *Client) Drain(ctx context.Context, o Order) (ActionResult, error) {
	if len(c.Addresses) != 1 {
		return ActionResult{}, fault(BadRequest, "a drain needs the address of exactly one instance")
	}
	return post[ActionResult](ctx, c, "drain", o)
}

// Servers lists backend servers.
func (c *Client) Servers(ctx context.Context) (Servers, error) {
	return get[Servers](ctx, c, "servers")
}

// Order sends an order to a model engine and waits until it has been carried out.
func (c *Client) SendOrder(ctx context.Context, server string, o ServerOrder) (ActionResult, error) {
	return post[ActionResult](ctx, c, "servers/"+url.PathEscape(server)+"/orders", o)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return send[T](ctx, c, http.MethodGet, path, nil)
}

func post[T any](ctx context.Context, c *Client, path string, in any) (T, error) {
	text, err := json.Marshal(in)
	if err != nil {
		var none T
		return none, errors.Wrap(err, "encode request")
	}
	return send[T](ctx, c, http.MethodPost, path, text)
}

// send tries the addresses in order. Every change has an id, so trying it at the next instance is safe;
// once an answer was lost the whole is unknown, whatever the next instances say about reaching the platform.
func send[T any](ctx context.Context, c *Client, method, path string, text []byte) (T, error) {
	var out T
	last := fault(Unavailable, "no address is given")
	doubt := false
	for _, a := range c.Addresses {
		f := c.once(ctx, a, method, path, text, &out)
		if f == nil {
			return out, nil
		}
		if f.Code != Unavailable && f.Code != OutcomeUnknown {
			return out, f
		}
		doubt = doubt || (f.Code == OutcomeUnknown && method == http.MethodPost)
		last = f
	}
	switch {
	case method == http.MethodGet && last.Code == OutcomeUnknown:
		last = fault(Unavailable, last.Message)
	case doubt:
		last = fault(OutcomeUnknown, "it may have been done; repeat with the same id: "+last.Message)
	}
	return out, last
}

func (c *Client) once(ctx context.Context, address, method, path string, text []byte, out any) *Fault {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+Prefix+path, bytes.NewReader(text))
	if err != nil {
		return fault(BadRequest, "address "+address+" is malformed")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	a, err := c.HTTP.Do(r)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			return fault(Unavailable, address+" can't be reached")
		}
		return fault(OutcomeUnknown, address+" gave no answer")
	}
	defer func() { _ = a.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(a.Body, 4*maxBody))
	if err != nil {
		return fault(OutcomeUnknown, address+" gave no whole answer")
	}
	if a.StatusCode == http.StatusOK {
		if json.Unmarshal(answer, out) != nil {
			return fault(OutcomeUnknown, address+" gave an answer that can't be read")
		}
		return nil
	}
	var f Fault
	if json.Unmarshal(answer, &f) != nil || f.Code == "" {
		return fault(Internal, address+" answered with status "+strconv.Itoa(a.StatusCode))
	}
	return &f
}
