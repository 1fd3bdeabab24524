package lacerelay

import (
	"context"
	"testing"
	"time"

	"lacewingcove/lib/lacefault"
)

// Guards against a request that is sent to a server which has left, while the news of that is late, and against a
// response that is broken off for it.
func TestLateServersTakeNoRequest(t *testing.T) {
	for name, c := range map[string]struct {
		late, mayHaveRun, begun bool
		want                    lacefault.Outcome
	}{
		"in time":                  {},
		"late":                     {late: true, want: lacefault.NotRun},
		"late after an attempt":    {late: true, mayHaveRun: true, want: lacefault.Unknown},
		"late after the beginning": {late: true, mayHaveRun: true, begun: true},
	} {
		b := newTestRelay(t)
		b.options.ServersLate = func() bool { return c.late }
		j := slowJob()
		j.history.mayHaveRun = c.mayHaveRun
		if c.begun {
			j.response.startedAt = time.Now()
		}
		_, f := b.tryServer(context.Background(), j)
		switch {
		case (f != nil) != (c.want != ""):
			t.Errorf("%s: fault %v", name, f)
		case f != nil && (f.Outcome != c.want || f.RetryAfter <= 0 && f.Outcome == lacefault.NotRun):
			t.Errorf("%s: %+v", name, f)
		}
		if sent := b.received.Load() > 0; sent != (c.want == "") {
			t.Errorf("%s: sent %t", name, sent)
		}
	}
}
