package lacegateway

import (
	"context"
	"net/http"
	"testing"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
)

// Guards against a queued request that is refused after its deadline, because nothing woke the ticker.
func TestQueuedRequestWakesTicker(t *testing.T) {
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
	case <-a.runner.wake:
	case f := <-refused:
		t.Fatalf("refused before its deadline: %v", f)
	case <-time.After(testTimeout):
		t.Fatal("the ticker was not woken")
	}
	if delay := a.runner.tick(start); delay > time.Second {
		t.Fatalf("the next tick is in %v, the deadline in 1s", delay)
	}
	a.runner.tick(start.Add(time.Second + time.Millisecond))
	f := <-refused
	if f == nil || f.Outcome != lacefault.NotRun || f.Code.Status() != http.StatusServiceUnavailable || f.RetryAfter <= 0 {
		t.Fatalf("fault %+v", f)
	}
}

// testTimeout bounds the wait for another goroutine of the test.
const testTimeout = 10 * time.Second
