package laceload

import (
	"net/http/httptest"
	"strings"
	"testing"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceunit"
)

// Guards against a load tool that counts a response with an invalid head as an answer.
func TestResponsesWithInvalidHeadsAreRejected(t *testing.T) {
	for head, valid := range map[string]bool{"HTTP/1.1 200\r\n": true, laceemulator.InvalidField: false} {
		s := httptest.NewServer(laceemulator.RawResponse(head + "Content-Length: 2\r\n\r\n{}"))
		var counts wireRunCounts
		err := fetchCounts(t.Context(), NewClient(), laceunit.Address(strings.TrimPrefix(s.URL, "http://")), &counts)
		if valid != (err == nil) {
			t.Errorf("head %q: error %v", head, err)
		}
		s.Close()
	}
}
