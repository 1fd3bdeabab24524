package lacecontrol

import (
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"lacewingcove/lib/laceemulator"
)

// Guards against a configuration that is shown from a response with an invalid head.
func TestResponsesWithInvalidHeadsAreRejected(t *testing.T) {
	token := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(token, []byte("t"), 0o600); err != nil {
		t.Fatal(err)
	}
	for head, valid := range map[string]bool{"HTTP/1.1 200\r\n": true, laceemulator.InvalidField: false} {
		s := httptest.NewServer(laceemulator.RawResponse(head + "Content-Length: 2\r\n\r\n{}"))
		o := options{
			addresses: s.URL,
			tokenFile: token,
			timeout:   time.Minute,
		}
		c, err := o.client()
		if err != nil {
			t.Fatal(err)
		}
		if _, err = c.Show(t.Context()); valid != (err == nil) {
			t.Errorf("head %q: error %v", head, err)
		}
		s.Close()
	}
}
