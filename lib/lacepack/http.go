package lacepack

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Encoding names packed answers in Accept-Encoding and Content-Encoding.
const Encoding = "lacepack"

// headerSum carries the checksum of an unpacked answer.
const headerSum = "Lace-Sum"

const (
	// leastAnswer is the size in bytes below which an answer fits into a packet or two, so that packing saves nothing.
	leastAnswer = 2 << 10
	// mostAnswer bounds an answer in bytes, packed or not; the configuration of the design scale takes 1.6 MB.
	mostAnswer = 64 << 20
)

// Transport asks for packed answers and unpacks them.
type Transport struct {
	// Base carries the calls; nil stands for the transport of net/http.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It returns when a packed answer has arrived as a whole.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	base := t.Base
	if base == nil {
		base = http.DefaultTransport
	}
	r = r.Clone(r.Context())
	r.Header.Set("Accept-Encoding", Encoding)
	response, err := base.RoundTrip(r)
	if err != nil || response.Header.Get("Content-Encoding") != Encoding {
		return response, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := unpackAnswer(response)
	if err != nil {
		return nil, err
	}
	response.Header.Del("Content-Encoding")
	response.Header.Set("Content-Length", strconv.Itoa(len(text)))
	response.ContentLength = int64(len(text))
	response.Body = io.NopCloser(bytes.NewReader(text))
	return response, nil
}

func unpackAnswer(r *http.Response) ([]byte, error) {
	packed, err := io.ReadAll(io.LimitReader(r.Body, mostAnswer))
	if err != nil {
		return nil, err
	}
	sum, err := strconv.ParseUint(r.Header.Get(headerSum), 16, 64)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, "answer without a checksum")
	}
	return Unpack(packed, nil, mostAnswer, Sum(sum))
}

// Handler packs the large answers of another handler for those who accept it, so that a caller of an older version is
// served as before.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") != Encoding {
			next.ServeHTTP(w, r)
			return
		}
		a := &answer{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		next.ServeHTTP(a, r)
		a.send()
	})
}

// answer holds an answer back until it is whole.
type answer struct {
	http.ResponseWriter
	status int
	text   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) { a.status = status }

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) { return a.text.Write(p) }

// send passes the answer on, packed if that makes it smaller.
func (a *answer) send() {
	text := a.text.Bytes()
	if len(text) >= leastAnswer {
		if packed, err := Pack(text, nil); err == nil && len(packed) < len(text) {
			a.Header().Set("Content-Encoding", Encoding)
			a.Header().Set(headerSum, strconv.FormatUint(uint64(Checksum(text)), 16))
			text = packed
		}
	}
	a.Header().Set("Content-Length", strconv.Itoa(len(text)))
	a.ResponseWriter.WriteHeader(a.status)
	// The caller has gone if this fails.
	_, _ = a.ResponseWriter.Write(text)
}
