package lacepack

import (
	"bytes"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// Encoding is the name of the packed format in Accept-Encoding and Content-Encoding.
const Encoding = "lacepack"

// headerChecksum has the checksum of the unpacked response.
const headerChecksum = "Lace-Sum"

const (
	// minPackedBytes is the size below which a response fits into one or two network packets, so that packing saves
	// nothing.
	minPackedBytes = 2 << 10
	// maxResponseBytes bounds a response, packed or not; the configuration of the design scale takes 1.6 MB.
	maxResponseBytes = 64 << 20
)

// Transport requests packed responses and unpacks them.
type Transport struct {
	// Base sends the requests.
	Base http.RoundTripper
}

// RoundTrip implements http.RoundTripper. It buffers a packed response completely before it returns.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Accept-Encoding", Encoding)
	response, err := t.Base.RoundTrip(r)
	if err != nil || response.Header.Get("Content-Encoding") != Encoding {
		return response, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := unpackResponse(response)
	if err != nil {
		return nil, err
	}
	response.Header.Del("Content-Encoding")
	response.Header.Set("Content-Length", strconv.Itoa(len(body)))
	response.ContentLength = int64(len(body))
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

func unpackResponse(r *http.Response) ([]byte, error) {
	packed, err := io.ReadAll(io.LimitReader(r.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	sum, err := strconv.ParseUint(r.Header.Get(headerChecksum), 16, 64)
	if err != nil {
		return nil, errors.Wrap(ErrMalformed, "response without a checksum")
	}
	return Unpack(packed, nil, maxResponseBytes, Sum(sum))
}

// Handler packs the large responses of another handler if the client accepts the encoding. Clients of older versions
// get unpacked responses.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Accept-Encoding") != Encoding {
			next.ServeHTTP(w, r)
			return
		}
		b := &bufferedResponse{
			ResponseWriter: w,
			status:         http.StatusOK,
		}
		next.ServeHTTP(b, r)
		b.flush()
	})
}

// bufferedResponse buffers a response until it is complete.
type bufferedResponse struct {
	http.ResponseWriter
	status int
	body   bytes.Buffer
}

// WriteHeader implements http.ResponseWriter.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write implements http.ResponseWriter.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }

// flush sends the response, packed if that makes it smaller.
func (b *bufferedResponse) flush() {
	body := b.body.Bytes()
	if len(body) >= minPackedBytes {
		if packed, err := Pack(body, nil); err == nil && len(packed) < len(body) {
			b.Header().Set("Content-Encoding", Encoding)
			b.Header().Set(headerChecksum, strconv.FormatUint(uint64(Checksum(body)), 16))
			body = packed
		}
	}
	b.Header().Set("Content-Length", strconv.Itoa(len(body)))
	b.ResponseWriter.WriteHeader(b.status)
	// An error means that the client has disconnected.
	_, _ = b.ResponseWriter.Write(body)
}
