package lacerelay

import (
	"context"
	"testing"
	"time"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// fakeQuota is an account of which this instance holds a number of tokens.
type fakeQuota struct {
	free, lost laceunit.Tokens
	// spent is true if nothing else of the account is left.
	spent bool
}

// Reserve implements Quota.
func (q *fakeQuota) Reserve(
	_ context.Context, _ laceunit.AccountID, tokens laceunit.Tokens,
) (lacequota.Verdict, lacequota.State) {
	state := lacequota.State{
		Cap:  q.free,
		Lost: q.lost,
	}
	switch {
	case tokens <= q.free:
		q.free -= tokens
		return lacequota.Reserved, state
	case q.spent:
		return lacequota.Exhausted, state
	default:
		return lacequota.Insufficient, state
	}
}

// Settle implements Quota.
func (q *fakeQuota) Settle(_ laceunit.AccountID, reserved, consumed laceunit.Tokens) {
	q.free += reserved - consumed
}

// Guards against requests for new streams that take all tokens which are left after a kill of all instances, before
// clients take up the streams that they have paid for in part; and against tokens that are kept for longer than that, or
// without need.
func TestTokensAreKeptForTakeUpsAfterRestart(t *testing.T) {
	call := Call{
		Input:     900,
		MaxOutput: 100,
	}
	for name, c := range map[string]struct {
		quota  fakeQuota
		age    time.Duration
		resume bool
		mode   laceroute.RetryMode
		want   lacequota.Verdict
	}{
		"enough for both":              {quota: fakeQuota{free: 1400, lost: 1}, want: lacequota.Reserved},
		"an eighth remains":            {quota: fakeQuota{free: 1150, lost: 1}, want: lacequota.Reserved},
		"too little remains":           {quota: fakeQuota{free: 1100, lost: 1}, want: lacequota.Insufficient},
		"too little, others hold none": {quota: fakeQuota{free: 1100, lost: 1, spent: true}, want: lacequota.Insufficient},
		"nothing lost":                 {quota: fakeQuota{free: 1000}, want: lacequota.Reserved},
		"spent":                        {quota: fakeQuota{free: 999, lost: 1, spent: true}, want: lacequota.Exhausted},
		"taken up":                     {quota: fakeQuota{free: 100, lost: 1}, resume: true, want: lacequota.Reserved},
		"later":                        {quota: fakeQuota{free: 1000, lost: 1}, age: restartPeriod, want: lacequota.Reserved},
		"not resumable":                {quota: fakeQuota{free: 1000, lost: 1}, mode: laceroute.Idempotent, want: lacequota.Reserved},
	} {
		b := newTestRelay(t)
		b.startedAt = time.Now().Add(-c.age)
		b.options.Quota = &c.quota
		mode := laceroute.Resumable
		if c.mode != 0 {
			mode = c.mode
		}
		j := &job{
			call:  call,
			route: &laceroute.Route{RetryMode: mode},
		}
		if c.resume {
			j.call.LastEventID = "3"
		}
		before, tokens := c.quota.free, j.input()+call.MaxOutput
		verdict, _ := b.reserve(context.Background(), j, tokens)
		if verdict != c.want {
			t.Errorf("%s: verdict %d, want %d", name, verdict, c.want)
		}
		if verdict != lacequota.Reserved {
			tokens = 0
		}
		if got := before - c.quota.free; got != tokens {
			t.Errorf("%s: %d tokens are reserved, want %d", name, got, tokens)
		}
	}
}
