package lacenode

import (
	"net/http/httptest"
	"strings"
	"testing"

	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// Guards against changes, loans and budgets that are taken from a response of a peer with an invalid head.
func TestPeerResponsesWithInvalidHeadsAreRejected(t *testing.T) {
	const rest = "Content-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"
	traffic := &laceconn.Traffic{}
	replicating := newTestPeer(t)
	for head, valid := range map[string]bool{"HTTP/1.1 200\r\n": true, laceemulator.InvalidField: false} {
		s := httptest.NewServer(laceemulator.RawResponse(head + rest))
		peer := laceunit.Address(strings.TrimPrefix(s.URL, "http://"))
		if _, err := replicating.fetch(t.Context(), peer, query{request: &lacewire.MirrorQuery{}}); valid != (err == nil) {
			t.Errorf("changes, head %q: error %v", head, err)
		}
		_, err := lacewire.NewLenderProtobufClient(s.URL, newPeerClient(traffic)).Lend(t.Context(), &lacewire.LoanQuery{})
		if valid != (err == nil) {
			t.Errorf("loan, head %q: error %v", head, err)
		}
		s.Close()
	}
}
