package lacegateway

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Guards against a request that gets no answer because it is still running at the end of a graceful shutdown.
func TestRequestsAreAnsweredAtTheEndOfDrain(t *testing.T) {
	f := newFixture()
	f.backend.unblock = make(chan struct{})
	defer close(f.backend.unblock)
	f.backend.started = make(chan struct{}, 1)
	body := strings.Replace(chatBody, `"stream":true`, `"stream":false`, 1)
	statuses := make(chan int, 1)
	go func() { statuses <- f.do(newRequest(http.MethodPost, "/v1/chat/completions", "c1", body)).Code }()
	<-f.backend.started
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if err := f.gateway.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v", err)
	}
	select {
	case status := <-statuses:
		if status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			t.Errorf("status %d", status)
		}
	case <-time.After(5 * time.Second):
		t.Error("no answer")
	}
}
