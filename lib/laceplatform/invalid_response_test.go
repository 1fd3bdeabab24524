package laceplatform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against a message of a watch that has no end and fills the memory.
func TestWatchMessageWithoutEnd(t *testing.T) {
	const maxBytes = 96 << 20
	sent := make(chan int, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		total, chunk := 0, `{"result":"`+strings.Repeat("x", 1<<20)
		for total < maxBytes {
			n, err := io.WriteString(w, chunk)
			total += n
			if err != nil {
				break
			}
			chunk = chunk[len(chunk)-1<<20:]
		}
		sent <- total
	}))
	defer s.Close()
	c, err := laceplatform.NewClient([]laceunit.Address{laceunit.Address(s.URL)})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err = c.Watch(t.Context(), "k", 0); !errors.Is(err, laceplatform.ErrUnavailable) {
		t.Errorf("error %v", err)
	}
	if n := <-sent; n >= maxBytes {
		t.Errorf("the server could send %d bytes of a message", n)
	}
}
