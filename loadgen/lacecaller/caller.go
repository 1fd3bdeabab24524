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

// statusPollInterval is the interval at which the status of a request with an unknown outcome is polled.
const statusPollInterval = 500 * time.Millisecond

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

// retryLoop is the state of one request across its attempts.
type retryLoop struct {
	caller *Caller
	call   Call
	result Result
	// mayHaveRun is true after an attempt whose outcome is unknown.
	mayHaveRun bool
	// suggested is the instance that the last failure named for the next attempt, if any.
	suggested laceunit.Address
	backoff   time.Duration
}

// Do sends a request and retries it until it has a reply, a failure that is not retried, or no attempts or time left.
// The deadline counts from the arrival.
func (c *Caller) Do(ctx context.Context, call Call, arrived time.Time) Result {
	deadlineCtx, cancel := context.WithDeadline(ctx, arrived.Add(c.retry.RequestTimeout))
	defer cancel()
	l := &retryLoop{
		caller:  c,
		call:    call,
		backoff: c.retry.InitialBackoff,
	}
	finished := l.run(deadlineCtx, arrived)
	if !finished && l.mayHaveRun {
		l.resolveOutcome(ctx)
	}
	l.result.Duration = time.Since(arrived)
	return l.result
}

// DoOnce sends a request once to one instance, without retries.
func (c *Caller) DoOnce(ctx context.Context, address laceunit.Address, call Call) Result {
	started := time.Now()
	a := &attempt{
		caller: c,
		call:   call,
	}
	reply, failure := a.run(ctx, address)
	r := Result{
		Outcome:  lacefault.Done,
		Reply:    reply,
		Attempts: 1,
		Duration: time.Since(started),
		Address:  address,
	}
	if failure != nil {
		r.Outcome, r.LastFailure = failure.Outcome, *failure
		return r
	}
	r.TimeToFirstByte = a.firstByteAt.Sub(started)
	return r
}

// run sends attempts until one succeeds; it returns false if none did.
func (l *retryLoop) run(ctx context.Context, arrived time.Time) bool {
	for l.result.Attempts < l.caller.retry.MaxAttempts && ctx.Err() == nil {
		address := l.suggested
		if address == "" {
			var err error
			if address, err = l.caller.directory.Pick(ctx, l.result.Address); err != nil {
				l.recordFailure(Failure{Outcome: lacefault.NotRun, Code: CodeUnreachable})
				l.result.Attempts++
				if !l.backOff(ctx, 0) {
					break
				}
				continue
			}
		}
		l.suggested, l.result.Address = "", address
		l.result.Attempts++
		a := &attempt{
			caller: l.caller,
			call:   l.call,
		}
		reply, failure := a.run(ctx, address)
		if failure == nil {
			l.result.Outcome, l.result.Reply = lacefault.Done, reply
			l.result.TimeToFirstByte = a.firstByteAt.Sub(arrived)
			return true
		}
		l.recordFailure(*failure)
		if !l.prepareRetry(ctx, address, *failure) {
			break
		}
	}
	return false
}

// recordFailure records the failure of an attempt. The outcome is "not run" only if that holds for every attempt.
func (l *retryLoop) recordFailure(r Failure) {
	l.caller.observer.AttemptFailed(l.call, r)
	l.result.LastFailure = r
	l.mayHaveRun = l.mayHaveRun || r.Outcome != lacefault.NotRun
	l.result.Outcome = lacefault.NotRun
	if l.mayHaveRun {
		l.result.Outcome = lacefault.Unknown
	}
}

// prepareRetry decides whether and where the request is retried, and waits for the delay before the retry.
func (l *retryLoop) prepareRetry(ctx context.Context, address laceunit.Address, r Failure) bool {
	switch r.Code {
	case lacefault.BadRequest, lacefault.TooLarge, lacefault.Unauthorized, lacefault.Forbidden, lacefault.NotFound,
		lacefault.IDReused, lacefault.IDMissing:
		return false
	case CodeInterrupted, CodeUnreachable:
		l.caller.directory.MarkFailed(address)
		return l.backOff(ctx, 0)
	}
	l.suggested = r.Instance
	return l.backOff(ctx, r.RetryAfter)
}

// backOff waits for the delay that the instance requested, or else for the caller's exponential backoff. It returns
// false if the delay would exceed the deadline.
func (l *retryLoop) backOff(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		d = l.backoff
		l.backoff = min(2*l.backoff, l.caller.retry.MaxBackoff)
	}
	if deadline, ok := ctx.Deadline(); ok && time.Now().Add(d).After(deadline) {
		return false
	}
	return sleep(ctx, d) == nil
}

// resolveOutcome polls the status of the request until its outcome is known or StatusQueryTimeout has passed. A query that
// has begun by then is completed, since it may take longer on a busy machine. An id that is not found leaves the outcome
// unknown, since an earlier attempt may still be in flight.
func (l *retryLoop) resolveOutcome(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, l.caller.retry.StatusQueryTimeout)
	defer cancel()
	for {
		if outcome := l.queryOutcome(ctx); outcome != lacefault.Unknown {
			l.result.Outcome, l.result.FromStatusQuery = outcome, true
			return
		}
		if sleep(pollCtx, statusPollInterval) != nil {
			return
		}
	}
}

// queryOutcome queries the status of the request once.
func (l *retryLoop) queryOutcome(ctx context.Context) lacefault.Outcome {
	ctx, cancel := context.WithTimeout(ctx, l.caller.retry.AttemptTimeout)
	defer cancel()
	address, err := l.caller.directory.Pick(ctx, l.result.Address)
	if err != nil {
		return lacefault.Unknown
	}
	l.result.Address = address
	s, err := l.caller.QueryStatus(ctx, address, l.call)
	if err != nil || !s.Found {
		return lacefault.Unknown
	}
	return s.Outcome
}

type wireRequestStatus struct {
	Outcome string `json:"outcome"`
	State   string `json:"state"`
	Tokens  int64  `json:"tokens"`
}

// QueryStatus queries the status of a request at one instance.
func (c *Caller) QueryStatus(ctx context.Context, address laceunit.Address, call Call) (RequestStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, c.retry.AttemptTimeout)
	defer cancel()
	query := call
	query.Body = nil
	query.Method = ""
	r, err := c.newRequest(ctx, address, http.MethodGet, "/v1/requests/"+string(call.ID), query)
	if err != nil {
		return RequestStatus{}, err
	}
	response, err := c.client.Do(r)
	if err != nil {
		return RequestStatus{}, errors.Wrap(err, "caller")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return RequestStatus{}, nil
	}
	if response.StatusCode != http.StatusOK {
		return RequestStatus{}, errors.Errorf("caller: the status query of a request returned %s", response.Status)
	}
	var w wireRequestStatus
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLineBytes)).Decode(&w); err != nil {
		return RequestStatus{}, errors.Wrap(err, "caller: state")
	}
	return RequestStatus{
		Found:   true,
		Outcome: lacefault.Outcome(w.Outcome),
		State:   w.State,
		Tokens:  laceunit.Tokens(w.Tokens),
	}, nil
}

// QueryStatusAnywhere queries one instance after another until one responds.
func (c *Caller) QueryStatusAnywhere(ctx context.Context, call Call, attempts int) (RequestStatus, error) {
	var lastAddress laceunit.Address
	var lastErr error
	for range attempts {
		address, err := c.directory.Pick(ctx, lastAddress)
		if err != nil {
			return RequestStatus{}, err
		}
		s, err := c.QueryStatus(ctx, address, call)
		if err == nil {
			return s, nil
		}
		lastAddress, lastErr = address, err
		if sleep(ctx, c.retry.InitialBackoff) != nil {
			break
		}
	}
	return RequestStatus{}, lastErr
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
