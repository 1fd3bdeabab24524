package lacerouter

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"lacewingcove/lib/laceemulator"
)

// Guards against calls between instances that return a response with an invalid head.
func TestPeerTransportRejectsInvalidHeads(t *testing.T) {
	p := newPeerTransport(nil)
	defer p.Close()
	for _, head := range []string{laceemulator.InvalidStatus, laceemulator.InvalidField} {
		s := httptest.NewServer(laceemulator.RawResponse(head + "Content-Length: 2\r\n\r\nok"))
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, http.NoBody)
		if err != nil {
			t.Fatal(err)
		}
		if response, err := p.client.Do(r); err == nil {
			response.Body.Close()
			t.Errorf("head %q: status %d", head, response.StatusCode)
		}
		s.Close()
	}
}
