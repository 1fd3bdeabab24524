package lacefeed

import (
	"net/http/httptest"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// Guards against an instance list that is taken from a response with an invalid head.
func TestListWithInvalidHeadIsRejected(t *testing.T) {
	const rest = "Content-Length: 16\r\n\r\n{\"instances\":[]}"
	f, _, _ := newTestFeed(t, 0, Settings{})
	for head, valid := range map[string]bool{"HTTP/1.1 200\r\n": true, laceemulator.InvalidField: false} {
		s := httptest.NewServer(laceemulator.RawResponse(head + rest))
		_, _, err := fetchList(t.Context(), f.listClient, laceunit.Address(s.URL), "")
		if valid != (err == nil) {
			t.Errorf("head %q: error %v", head, err)
		}
		s.Close()
	}
}
