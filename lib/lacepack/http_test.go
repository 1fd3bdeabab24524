package lacepack

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
)

// Guards against an answer that differs from the one that was given, and against packed answers for callers that can't read
// them.
func TestAnswersPassPacked(t *testing.T) {
	for name, c := range map[string]struct {
		text    []byte
		status  int
		accepts bool
		packed  bool
	}{
		"large":                  {text: routes(1, 500), status: http.StatusOK, accepts: true, packed: true},
		"large error":            {text: routes(1, 500), status: http.StatusNotFound, accepts: true, packed: true},
		"small":                  {text: routes(1, 1), status: http.StatusOK, accepts: true},
		"empty":                  {status: http.StatusOK, accepts: true},
		"caller of an older one": {text: routes(1, 500), status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var sent http.Header
			inner := Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(c.text)))
				w.WriteHeader(c.status)
				_, _ = w.Write(c.text)
			}))
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				inner.ServeHTTP(w, r)
				sent = w.Header().Clone()
			}))
			defer s.Close()
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			if c.accepts {
				client.Transport = &Transport{Base: client.Transport}
			}
			response, err := client.Get(s.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != c.status || !bytes.Equal(text, c.text) {
				t.Errorf("status %d, %d bytes of %d, error %v", response.StatusCode, len(text), len(c.text), err)
			}
			client.CloseIdleConnections()
			s.Close()
			if packed := sent.Get("Content-Encoding") == Encoding; packed != c.packed {
				t.Errorf("packed is %t", packed)
			}
		})
	}
}

// Guards against a damaged answer that is taken for a whole one.
func TestADamagedAnswerFails(t *testing.T) {
	packed, err := Pack(routes(1, 100), nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, sum := range map[string]string{"no checksum": "", "another checksum": "1"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", Encoding)
			w.Header().Set(headerSum, sum)
			_, _ = w.Write(packed)
		}))
		client := &http.Client{Transport: &Transport{}}
		if response, err := client.Get(s.URL); err == nil {
			response.Body.Close()
			t.Errorf("%s: an answer was taken", name)
		}
		s.Close()
	}
}
