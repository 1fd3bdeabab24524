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

// Client calls the API with failover across several instances.
type Client struct {
	// Addresses are host:port or base URLs, tried in order.
	Addresses []string
	Token     string
	// HTTP is the underlying client; its timeout applies to each attempt.
	HTTP *http.Client
}

// Show returns the configuration.
func (c *Client) Show(ctx context.Context) (Document, error) {
	return get[Document](ctx, c, "config")
}

// Plan returns the changes that an edit would make, without applying it.
func (c *Client) Plan(ctx context.Context, p Proposal) (EditResult, error) {
	return post[EditResult](ctx, c, "config/plan", p)
}

// Apply applies an edit.
func (c *Client) Apply(ctx context.Context, p Proposal) (EditResult, error) {
	return post[EditResult](ctx, c, "config/apply", p)
}

// History returns records, newest first, starting at a version; zero means the newest.
func (c *Client) History(ctx context.Context, from uint64, limit int) (History, error) {
	return get[History](ctx, c, "config/history?from="+strconv.FormatUint(from, 10)+"&limit="+strconv.Itoa(limit))
}

// Accounts lists client accounts.
func (c *Client) Accounts(ctx context.Context) (Accounts, error) {
	return get[Accounts](ctx, c, "accounts")
}

// RotateKey adds an API key to a client account.
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

// Release returns the remaining tokens of a closed grant to its budget.
func (c *Client) Release(ctx context.Context, budget, grant string, o Order) (ActionResult, error) {
	return post[ActionResult](ctx, c, "budgets/"+url.PathEscape(budget)+"/grants/"+url.PathEscape(grant)+"/release", o)
}

// Instances lists the instances of the membership.
func (c *Client) Instances(ctx context.Context) (Instances, error) {
	return get[Instances](ctx, c, "instances")
}

// Fence declares that an incarnation has terminated permanently.
func (c *Client) Fence(ctx context.Context, instance, incarnation string, o Order) (ActionResult, error) {
	return post[ActionResult](ctx, c, "instances/"+url.PathEscape(instance)+"/"+url.PathEscape(incarnation)+"/fence", o)
}

// Drain starts a graceful shutdown of the instance; the client must have exactly one address.
func (c *Client) Drain(ctx context.Context, o Order) (ActionResult, error) {
	if len(c.Addresses) != 1 {
		return ActionResult{}, newFault(BadRequest, "a drain needs the address of exactly one instance")
	}
	return post[ActionResult](ctx, c, "drain", o)
}

// Servers lists backend servers.
func (c *Client) Servers(ctx context.Context) (Servers, error) {
	return get[Servers](ctx, c, "servers")
}

// SendOrder sends an order to a model engine and waits until it has been executed.
func (c *Client) SendOrder(ctx context.Context, server string, o ServerOrder) (ActionResult, error) {
	return post[ActionResult](ctx, c, "servers/"+url.PathEscape(server)+"/orders", o)
}

func get[T any](ctx context.Context, c *Client, path string) (T, error) {
	return send[T](ctx, c, http.MethodGet, path, nil)
}

func post[T any](ctx context.Context, c *Client, path string, request any) (T, error) {
	body, err := json.Marshal(request)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "encode request")
	}
	return send[T](ctx, c, http.MethodPost, path, body)
}

// send tries the addresses in order. Every change has an id and is idempotent, so a retry at the next instance is safe.
// Once the response to a change was lost its outcome is unknown, even if later instances report that they can't reach
// the platform.
func send[T any](ctx context.Context, c *Client, method, path string, body []byte) (T, error) {
	var out T
	lastFault := newFault(Unavailable, "no address is given")
	outcomeUnknown := false
	for _, address := range c.Addresses {
		f := c.sendTo(ctx, address, method, path, body, &out)
		if f == nil {
			return out, nil
		}
		if f.Code != Unavailable && f.Code != OutcomeUnknown {
			return out, f
		}
		outcomeUnknown = outcomeUnknown || (f.Code == OutcomeUnknown && method == http.MethodPost)
		lastFault = f
	}
	switch {
	case method == http.MethodGet && lastFault.Code == OutcomeUnknown:
		lastFault = newFault(Unavailable, lastFault.Message)
	case outcomeUnknown:
		lastFault = newFault(OutcomeUnknown, "it may have been done; repeat with the same id: "+lastFault.Message)
	}
	return out, lastFault
}

func (c *Client) sendTo(ctx context.Context, address, method, path string, body []byte, out any) *Fault {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	r, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(address, "/")+Prefix+path, bytes.NewReader(body))
	if err != nil {
		return newFault(BadRequest, "address "+address+" is malformed")
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	r.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(r)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return newFault(Unavailable, address+" can't be reached")
		}
		return newFault(OutcomeUnknown, address+" did not respond")
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, 4*maxBodyBytes))
	if err != nil {
		return newFault(OutcomeUnknown, address+" sent an incomplete response")
	}
	if response.StatusCode == http.StatusOK {
		if json.Unmarshal(content, out) != nil {
			return newFault(OutcomeUnknown, address+" sent a malformed response")
		}
		return nil
	}
	var f Fault
	if json.Unmarshal(content, &f) != nil || f.Code == "" {
		return newFault(Internal, address+" responded with status "+strconv.Itoa(response.StatusCode))
	}
	return &f
}
