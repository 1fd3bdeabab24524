package lacegateway

import (
	"net/http"
	"strings"
	"time"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// serviceTimeout is the timeout of a call to a plain service if the configuration sets none.
const serviceTimeout = 10 * time.Second

// service serves /v1/services/{service}/{path...}.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	c, document, fault := g.authenticate(r)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	name := laceunit.ServiceID(r.PathValue("service"))
	service, ok := document.Services[name]
	if !ok {
		g.refuse(w, refusal(lacefault.NotFound, "no such service"))
		return
	}
	body, fault := readBody(w, r, document)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	path := servicePath(r, name)
	price, idempotent := classify(service, r.Method, path)
	id, fault := requestID(r, idempotent)
	if fault != nil {
		g.refuse(w, fault)
		return
	}
	timeout := service.Timeout
	if timeout <= 0 {
		timeout = serviceTimeout
	}
	sink := &serviceSink{
		w:  w,
		id: id,
	}
	g.run(w, r, task{
		caller: c,
		id:     id,
		sink:   sink,
		pickRequest: PickRequest{
			Account:  c.id,
			Service:  name,
			Priority: service.Priority,
			Cost:     price,
		},
		spec: lacerequest.Spec{
			Digest:     digest(r, body),
			Idempotent: idempotent,
			Ceiling:    price,
			Price:      price,
			CanLookup:  service.SupportsLookup,
		},
		invocation: &lacebackend.InvokeRequest{
			Method: r.Method,
			Path:   path,
			Query:  r.URL.RawQuery,
			Header: forwardedHeaders(r.Header),
			Body:   body,
		},
		timeout: timeout,
	})
}

func servicePath(r *http.Request, name laceunit.ServiceID) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+string(name))
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return path
}

// classify returns the price of a call and whether it is idempotent.
func classify(service laceconfig.Service, method, path string) (laceunit.Tokens, bool) {
	price := service.Price
	for _, r := range service.Routes {
		if r.Method != "" && r.Method != method || !strings.HasPrefix(path, r.Prefix) {
			continue
		}
		if r.Price > 0 {
			price = r.Price
		}
		return price, r.Idempotent
	}
	return price, method == http.MethodGet || method == http.MethodHead
}

// forwardedHeaders returns the request headers that are forwarded to a backend server; the caller's API key and headers
// of its connection are not.
func forwardedHeaders(header http.Header) http.Header {
	out := http.Header{}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", "User-Agent"} {
		if v := header.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}
