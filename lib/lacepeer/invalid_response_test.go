package lacepeer

import (
	"net/http/httptest"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

// Guards against a copy of a journal entry that counts as stored because of a response with an invalid head.
func TestResponsesWithInvalidHeadsAreRejected(t *testing.T) {
	const rest = "Content-Type: application/protobuf\r\nContent-Length: 0\r\n\r\n"
	c := NewClient("a")
	for head, valid := range map[string]bool{"HTTP/1.1 200\r\n": true, laceemulator.InvalidField: false} {
		s := httptest.NewServer(laceemulator.RawResponse(head + rest))
		to := lacemember.Member{Address: laceunit.Address(s.URL)}
		if err := c.Copy(t.Context(), to, []lacejournal.Entry{}); valid != (err == nil) {
			t.Errorf("head %q: error %v", head, err)
		}
		s.Close()
	}
}
