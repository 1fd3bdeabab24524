package lacecaller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/laceworkload"
)

// askEvery is how often the state of a request with an unknown outcome is asked for.
const askEvery = 500 * time.Millisecond

// Caller sends the requests of one client account.
type Caller struct {
	client    *http.Client
	directory *Directory
	retry     laceworkload.RetryPolicy
	observer  Observer
}

// New returns a caller.
func New(client *http.Client, directory *Directory, retry laceworkload.RetryPolicy, observer Observer) *Caller {
	return &Caller{
		client:    client,
		directory: directory,
		retry:     retry,
		observer:  observer,
	}
}

// progress is one request on its way through its attempts.
type progress struct {
	caller *Caller
	call   Call
	result Result
	// doubt is true after an attempt that may have run.
	doubt bool
	next  laceunit.Address
	wait  time.Duration
}

// Do sends a request until it has an answer, a final refusal or its deadline has passed.
func (c *Caller) Do(ctx context.Context, call Call, began time.Time) Result {
	bounded, cancel := context.WithDeadline(ctx, began.Add(c.retry.RequestTimeout))
	defer cancel()
	p := &progress{
		caller: c,
		call:   call,
		wait:   c.retry.InitialBackoff,
	}
	done := p.attempts(bounded, began)
	if !done && p.doubt {
		p.ask(ctx)
	}
	p.result.Duration = time.Since(began)
	return p.result
}

// Once tries a request once at one instance.
func (c *Caller) DoOnce(ctx context.Context, address laceunit.Address, call Call) Result {
	began := time.Now()
	a := &attempt{
		caller: c,
		call:   call,
	}
	reply, refusal := a.run(ctx, address)
	r := Result{
		Outcome:  lacefault.Done,
		Reply:    reply,
		Attempts: 1,
		Duration: time.Since(began),
		Address:  address,
	}
	if refusal != nil {
		r.Outcome, r.LastFailure = refusal.Outcome, *refusal
		return r
	}
	r.TimeToFirstByte = a.first.Sub(began)
	return r
}

// attempts returns false when the request was given up.
func (p *progress) attempts(ctx context.Context, began time.Time) bool {
	for p.result.Attempts < p.caller.retry.MaxAttempts && ctx.Err() == nil {
		address := p.next
		if address == "" {
			var err error
			if address, err = p.caller.directory.Pick(ctx, p.result.Address); err != nil {
				p.refuse(Failure{Outcome: lacefault.NotRun, Code: CodeUnreachable})
				p.result.Attempts++
				if !p.pause(ctx, 0) {
					break
				}
				continue
			}
		}
		p.next, p.result.Address = "", address
		p.result.Attempts++
		a := &attempt{
			caller: p.caller,
			call:   p.call,
		}
		reply, refusal := a.run(ctx, address)
		if refusal == nil {
			p.result.Outcome, p.result.Reply = lacefault.Done, reply
			p.result.TimeToFirstByte = a.first.Sub(began)
			return true
		}
		p.refuse(*refusal)
		if !p.again(ctx, address, *refusal) {
			break
		}
	}
	return false
}

// refuse notes a refusal; the request is "not run" only while no attempt of it is in doubt.
func (p *progress) refuse(r Failure) {
	p.caller.observer.AttemptFailed(p.call, r)
	p.result.LastFailure = r
	p.doubt = p.doubt || r.Outcome != lacefault.NotRun
	p.result.Outcome = lacefault.NotRun
	if p.doubt {
		p.result.Outcome = lacefault.Unknown
	}
}

// again decides whether and where a request is tried once more, and waits until then.
func (p *progress) again(ctx context.Context, address laceunit.Address, r Failure) bool {
	switch r.Code {
	case lacefault.BadRequest, lacefault.TooLarge, lacefault.Unauthorized, lacefault.Forbidden, lacefault.NotFound,
		lacefault.IDReused, lacefault.IDMissing:
		return false
	case CodeInterrupted, CodeUnreachable:
		p.caller.directory.MarkFailed(address)
		return p.pause(ctx, 0)
	}
	p.next = r.Instance
	return p.pause(ctx, r.RetryAfter)
}

// pause waits for the time that the instance named, or for the caller's own; false when the deadline comes first.
func (p *progress) pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		d = p.wait
		p.wait = min(2*p.wait, p.caller.retry.MaxBackoff)
	}
	if until, ok := ctx.Deadline(); ok && time.Now().Add(d).After(until) {
		return false
	}
	return sleep(ctx, d) == nil
}

// ask asks for the state of the request until it is known or the time for it is over. An id that no instance knows
// stays in doubt: an earlier attempt may still be on its way.
func (p *progress) ask(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, p.caller.retry.StatusQueryTimeout)
	defer cancel()
	for ctx.Err() == nil {
		address, err := p.caller.directory.Pick(ctx, p.result.Address)
		if err == nil {
			p.result.Address = address
			var s RequestStatus
			if s, err = p.caller.QueryStatus(ctx, address, p.call); err == nil && s.Found && s.Outcome != lacefault.Unknown {
				p.result.Outcome, p.result.FromStatusQuery = s.Outcome, true
				return
			}
		}
		if sleep(ctx, askEvery) != nil {
			return
		}
	}
}

type wireState struct {
	Outcome string `json:"outcome"`
	State   string `json:"state"`
	Tokens  int64  `json:"tokens"`
}

// Find asks an instance for the state of a request.
func (c *Caller) QueryStatus(ctx context.Context, address laceunit.Address, call Call) (RequestStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.retry.AttemptTimeout)
	defer cancel()
	question := call
	question.Body = nil
	question.Method = ""
	r, err := c.request(ctx, address, http.MethodGet, "/v1/requests/"+string(call.ID), question)
	if err != nil {
		return RequestStatus{}, err
	}
	answer, err := c.client.Do(r)
	if err != nil {
		return RequestStatus{}, errors.Wrap(err, "caller")
	}
	defer func() { _ = answer.Body.Close() }()
	if answer.StatusCode == http.StatusNotFound {
		return RequestStatus{}, nil
	}
	if answer.StatusCode != http.StatusOK {
		return RequestStatus{}, errors.Errorf("caller: the state of a request was answered with %s", answer.Status)
	}
	var w wireState
	if err := json.NewDecoder(io.LimitReader(answer.Body, maxLine)).Decode(&w); err != nil {
		return RequestStatus{}, errors.Wrap(err, "caller: state")
	}
	return RequestStatus{
		Found:   true,
		Outcome: lacefault.Outcome(w.Outcome),
		State:   w.State,
		Tokens:  laceunit.Tokens(w.Tokens),
	}, nil
}

// FindAnywhere asks one instance after the other.
func (c *Caller) QueryStatusAnywhere(ctx context.Context, call Call, tries int) (RequestStatus, error) {
	var last laceunit.Address
	var failed error
	for range tries {
		address, err := c.directory.Pick(ctx, last)
		if err != nil {
			return RequestStatus{}, err
		}
		s, err := c.QueryStatus(ctx, address, call)
		if err == nil {
			return s, nil
		}
		last, failed = address, err
		if sleep(ctx, c.retry.InitialBackoff) != nil {
			break
		}
	}
	return RequestStatus{}, failed
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
