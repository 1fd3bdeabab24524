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

// Guards against calls to a plain service that has requested a pause or announced that it is leaving.
func TestServiceNoticesReachBalancer(t *testing.T) {
	service := laceemulator.NewService(laceemulator.ServiceOptions{})
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
	request := PickRequest{Service: "orders"}
	call := func() {
		t.Helper()
		picked, fault := selector.Pick(context.Background(), request)
		if fault != nil {
			t.Fatal(fault)
		}
		assigned, fault := selector.Pick(context.Background(), request)
		if fault != nil {
			t.Fatal(fault)
		}
		// The result does not matter, only the header of the response.
		_, _ = client.Invoke(context.Background(), picked.Address, lacebackend.InvokeRequest{
			RequestID: "acme/1",
			Attempt:   "one",
			Method:    http.MethodPost,
			Path:      "/orders",
			OnNotice:  picked.OnNotice,
		})
		if !assigned.IsBlocked() {
			t.Error("a request that was assigned before the notice may still be sent")
		}
		picked.Done(ResultUnavailable)
		assigned.Done(ResultUnavailable)
	}
	service.SetFaults(laceemulator.ServerFaults{Pause: 5 * time.Second})
	call()
	if _, fault := selector.Pick(context.Background(), request); fault == nil || fault.Code != lacefault.Overloaded || fault.RetryAfter < 4*time.Second {
		t.Errorf("during the pause: %v", fault)
	}
	now = now.Add(6 * time.Second)
	service.SetFaults(laceemulator.ServerFaults{Leaving: true})
	picked, fault := selector.Pick(context.Background(), request)
	if fault != nil {
		t.Fatal(fault)
	}
	picked.OnNotice(lacebackend.Notice{})
	picked.Done(ResultSuccess)
	call()
	if _, fault := selector.Pick(context.Background(), request); fault == nil ||
		fault.Code != lacefault.NoBackendServer {
		t.Errorf("while the server is leaving: %v", fault)
	}
}

// Guards against a stream that is resumed at its server although another software version runs there by now.
func TestStreamIsNotResumedAtAnotherSoftwareVersion(t *testing.T) {
	balancer, err := lacebalancer.New(laceconfig.Routing{}, rand.New(rand.NewPCG(1, 0)).IntN)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Now()
	selector := NewSelector(balancer, func() time.Time { return now })
	server := laceconfig.Server{
		Kind:    laceconfig.KindEngine,
		Address: "127.0.0.1:1",
		Models:  []laceunit.ModelID{"m"},
		Slots:   8,
		Version: "v1",
	}
	servers := map[laceunit.ServerID]laceconfig.Server{"s1": server}
	balancer.Update(now, servers, nil)
	selector.Configure(&laceconfig.Document{Servers: servers})
	picked, fault := selector.Pick(context.Background(), PickRequest{Model: "m"})
	if fault != nil {
		t.Fatal(fault)
	}
	preferred, fault := selector.Pick(context.Background(), PickRequest{
		Model:  "m",
		Prefer: "s1",
	})
	if fault != nil {
		t.Fatal(fault)
	}
	upgraded := server
	upgraded.Version = "v2"
	for _, c := range []struct {
		name    string
		servers map[laceunit.ServerID]laceconfig.Server
		blocked bool
	}{
		{name: "same version", servers: servers},
		{name: "no longer listed"},
		{name: "upgraded", servers: map[laceunit.ServerID]laceconfig.Server{"s1": upgraded}, blocked: true},
	} {
		selector.Configure(&laceconfig.Document{Servers: c.servers})
		if picked.IsBlocked() != c.blocked || preferred.IsBlocked() != c.blocked {
			t.Errorf("%s: blocked %t, at the preferred server %t", c.name, picked.IsBlocked(), preferred.IsBlocked())
		}
	}
	picked.Done(ResultCanceled)
	preferred.Done(ResultCanceled)
}
