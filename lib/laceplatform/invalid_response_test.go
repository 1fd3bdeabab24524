package laceplatform_test

import (
	"net/http/httptest"
	"testing"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Guards against an entry that is read from a response with an invalid head.
func TestResponsesWithInvalidHeadsAreRejected(t *testing.T) {
	const rest = "Content-Length: 27\r\n\r\n{\"header\":{\"revision\":\"1\"}}"
	for head, want := range map[string]error{
		"HTTP/1.1 200\r\n":         laceplatform.ErrMissing,
		laceemulator.InvalidField:  laceplatform.ErrUnavailable,
		laceemulator.InvalidStatus: laceplatform.ErrUnavailable,
	} {
		s := httptest.NewServer(laceemulator.RawResponse(head + rest))
		c, err := laceplatform.NewClient([]laceunit.Address{laceunit.Address(s.URL)})
		if err != nil {
			t.Fatal(err)
		}
		if _, err = c.Get(t.Context(), "k"); !errors.Is(err, want) {
			t.Errorf("head %q: error %v", head, err)
		}
		c.Close()
		s.Close()
	}
}
