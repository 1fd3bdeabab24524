package lacepack

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
)

// Guards against a response that is altered by packing, and against packed responses to clients that don't accept them.
func TestResponseIsPackedWhenAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		body          []byte
		status        int
		acceptsPacked bool
		wantPacked    bool
	}{
		"large": {
			body:          routeDocument(1, 500),
			status:        http.StatusOK,
			acceptsPacked: true,
			wantPacked:    true,
		},
		"large error": {
			body:          routeDocument(1, 500),
			status:        http.StatusNotFound,
			acceptsPacked: true,
			wantPacked:    true,
		},
		"small":                      {body: routeDocument(1, 1), status: http.StatusOK, acceptsPacked: true},
		"empty":                      {status: http.StatusOK, acceptsPacked: true},
		"client of an older version": {body: routeDocument(1, 500), status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			var responseHeader http.Header
			inner := Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(len(c.body)))
				w.WriteHeader(c.status)
				_, _ = w.Write(c.body)
			}))
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				inner.ServeHTTP(w, r)
				responseHeader = w.Header().Clone()
			}))
			defer s.Close()
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			if c.acceptsPacked {
				client.Transport = &Transport{Base: client.Transport}
			}
			response, err := client.Get(s.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if err != nil || response.StatusCode != c.status || !bytes.Equal(body, c.body) {
				t.Errorf("status %d, %d bytes of %d, error %v", response.StatusCode, len(body), len(c.body), err)
			}
			client.CloseIdleConnections()
			s.Close()
			if packed := responseHeader.Get("Content-Encoding") == Encoding; packed != c.wantPacked {
				t.Errorf("packed is %t", packed)
			}
		})
	}
}

// Guards against a corrupt response that is accepted.
func TestDamagedResponseFails(t *testing.T) {
	packed, err := Pack(routeDocument(1, 100), nil)
	if err != nil {
		t.Fatal(err)
	}
	for name, sum := range map[string]string{"no checksum": "", "another checksum": "1"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Encoding", Encoding)
			w.Header().Set(headerChecksum, sum)
			_, _ = w.Write(packed)
		}))
		client := &http.Client{Transport: &Transport{Base: http.DefaultTransport}}
		if response, err := client.Get(s.URL); err == nil {
			response.Body.Close()
			t.Errorf("%s: the response was accepted", name)
		}
		s.Close()
	}
}
