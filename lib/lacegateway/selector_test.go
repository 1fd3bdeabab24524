package lacegateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceunit"
)

// Guards against calls to a plain service that has asked for a pause, or says that it leaves, through this interface.
func TestNoticesOfServicesReachTheBalancer(t *testing.T) {
	service := laceemulator.NewService(laceemulator.ServiceSetting{})
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	balancer, err := lacebalancer.New(laceconfig.Routing{}, rand.New(rand.NewPCG(1, 0)).IntN)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	selector := NewSelector(balancer, func() time.Time { return now })
	balancer.Update(now, map[laceunit.ServerID]laceconfig.Server{"s1": {
		Address:  laceunit.Address(server.URL),
		Services: []laceunit.ServiceID{"orders"},
		Slots:    8,
	}}, nil)
	client := lacebackend.New()
	defer client.Close()
	choice := PickRequest{Service: "orders"}
	call := func() {
		t.Helper()
		ticket, fault := selector.Pick(context.Background(), choice)
		if fault != nil {
			t.Fatal(fault)
		}
		placed, fault := selector.Pick(context.Background(), choice)
		if fault != nil {
			t.Fatal(fault)
		}
		// The result does not matter, only what the head of the answer says.
		_, _ = client.Invoke(context.Background(), ticket.Address, lacebackend.InvokeRequest{
			RequestID: "acme/1",
			Attempt:   "one",
			Method:    http.MethodPost,
			Path:      "/orders",
			OnNotice:  ticket.OnNotice,
		})
		if !placed.IsBlocked() {
			t.Error("a request that was placed before may still be sent")
		}
		ticket.Done(ResultUnavailable)
		placed.Done(ResultUnavailable)
	}
	service.SetFaults(laceemulator.ServerFaults{Pause: 5 * time.Second})
	call()
	if _, fault := selector.Pick(context.Background(), choice); fault == nil || fault.Code != lacefault.Overloaded || fault.RetryAfter < 4*time.Second {
		t.Errorf("in the pause: %v", fault)
	}
	now = now.Add(6 * time.Second)
	service.SetFaults(laceemulator.ServerFaults{Leaving: true})
	ticket, fault := selector.Pick(context.Background(), choice)
	if fault != nil {
		t.Fatal(fault)
	}
	ticket.OnNotice(lacebackend.Notice{})
	ticket.Done(ResultSuccess)
	call()
	if _, fault := selector.Pick(context.Background(), choice); fault == nil || fault.Code != lacefault.NoServer {
		t.Errorf("while the server leaves: %v", fault)
	}
}
