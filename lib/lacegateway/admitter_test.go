package lacegateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
)

// Guards against a queued request that gets its refusal later than its deadline, because nothing woke the tick.
func TestQueuedRequestWakesTheTick(t *testing.T) {
	start := time.Unix(1000, 0)
	a := NewAdmitter(laceconfig.Limits{
		MaxConcurrent: 1,
		MaxQueued:     1,
		QueueTimeout:  time.Second,
	}, func() time.Time { return start })
	release, fault := a.Admit(context.Background(), AdmissionRequest{Account: "acme"})
	if fault != nil {
		t.Fatal(fault)
	}
	defer release(0)
	refused := make(chan *lacefault.Fault, 1)
	go func() {
		_, f := a.Admit(context.Background(), AdmissionRequest{Account: "acme"})
		refused <- f
	}()
	select {
	case <-a.board.wake:
	case f := <-refused:
		t.Fatalf("refused before its deadline: %v", f)
	case <-time.After(testPatience):
		t.Fatal("the tick was not woken")
	}
	if sleep := a.board.tick(start); sleep > time.Second {
		t.Fatalf("the tick sleeps %v, the deadline is in 1s", sleep)
	}
	a.board.tick(start.Add(time.Second + time.Millisecond))
	f := <-refused
	if f == nil || f.Outcome != lacefault.NotRun || f.Code.Status() != http.StatusServiceUnavailable || f.RetryAfter <= 0 {
		t.Fatalf("fault %+v", f)
	}
}

// testPatience bounds the wait for another goroutine of the test.
const testPatience = 10 * time.Second
