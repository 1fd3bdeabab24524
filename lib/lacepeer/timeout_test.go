package lacepeer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacemember"
	"lacewingcove/lib/laceunit"
)

const testIdleTimeout = 500 * time.Millisecond

// slowLink is a transport that delivers a response body in chunks, with a delay before each.
type slowLink struct {
	base     http.RoundTripper
	chunks   int64
	received atomic.Int64
}

func (l *slowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := l.base.RoundTrip(r)
	if err == nil {
		response.Body = &slowBody{
			ReadCloser: response.Body,
			link:       l,
			ctx:        r.Context(),
			chunkSize:  response.ContentLength/l.chunks + 1,
		}
	}
	return response, err
}

type slowBody struct {
	io.ReadCloser
	link      *slowLink
	ctx       context.Context
	chunkSize int64
}

func (b *slowBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(testIdleTimeout / 4):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.chunkSize)])
	b.link.received.Add(int64(n))
	return n, err
}

// recordOf returns a record with count members.
func recordOf(count int) lacemember.Record {
	r := lacemember.Record{Epoch: 9}
	for i := range count {
		r.Members = append(r.Members, lacemember.Member{
			Holder: laceunit.Holder{
				Instance:    laceunit.InstanceID(fmt.Sprintf("router-%03d", i)),
				Incarnation: laceunit.Incarnation(1000 + 37*i),
			},
			Address:       laceunit.Address(fmt.Sprintf("10.%d.%d.%d:7443", i%4, i%10, i)),
			CallerAddress: laceunit.Address(fmt.Sprintf("10.%d.%d.%d:8443", i%4, i%10, i)),
			Place: laceunit.Place{
				Region: laceunit.RegionID(fmt.Sprint("region-", i%4)),
				Zone:   laceunit.ZoneID(fmt.Sprint("zone-", i%10)),
			},
			JoinEpoch: laceunit.Epoch(i),
		})
	}
	return r
}

// Guards against a response with the bindings of a large fleet that is never received, because the call times out while
// data is arriving, or because the response is sent unpacked and takes too much of the link.
func TestLargeResponseOverSlowLink(t *testing.T) {
	const (
		memberCount, bindingCount = 340, 20
		// maxBytes is what a link of 30 kB/s transfers in a second; the unpacked response has 540 KB.
		maxBytes = 30_000
	)
	link := &slowLink{
		base:   &http.Transport{DisableCompression: true},
		chunks: 8,
	}
	f, c, to := newTestServer(t, WithHTTP(&http.Client{Transport: link}), WithIdleTimeout(testIdleTimeout))
	t.Cleanup(link.base.(*http.Transport).CloseIdleConnections)
	record := recordOf(memberCount)
	reply := lacemember.AckReply{
		From:         f.self,
		Acknowledged: true,
		Epoch:        9,
	}
	for i := range bindingCount {
		reply.Bindings = append(reply.Bindings, lacemember.Binding{
			Home:   record.Members[i],
			Round:  3,
			Record: record,
		})
	}
	f.reply = reply
	start := time.Now()
	got, err := c.Call(t.Context(), to, lacemember.AckAsk{})
	if err != nil {
		t.Fatalf("%v after %s", err, time.Since(start))
	}
	if a, ok := got.(lacemember.AckReply); !ok || len(a.Bindings) != bindingCount {
		t.Errorf("got %T", got)
	}
	if n := link.received.Load(); n > maxBytes {
		t.Errorf("%d bytes", n)
	}
}

// slowUpload delays each request like a slow link that transfers a large one.
type slowUpload struct {
	base  http.RoundTripper
	delay time.Duration
}

func (s *slowUpload) RoundTrip(r *http.Request) (*http.Response, error) {
	select {
	case <-time.After(s.delay):
		return s.base.RoundTrip(r)
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
}

// Guards against a large batch of journal entries that never reaches the instance that submits it, because the timeout
// of a small call also applies to it.
func TestRequestTimeoutGrowsWithSize(t *testing.T) {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	_, c, to := newTestServer(t, WithIdleTimeout(testIdleTimeout), WithHTTP(&http.Client{Transport: &slowUpload{
		base:  transport,
		delay: 2 * testIdleTimeout,
	}}))
	var entries []lacejournal.Entry
	for i := range 64 {
		entries = append(entries, lacejournal.Entry{
			Owner: laceunit.Holder{Instance: "a"},
			Record: laceledger.Offline{
				Budget:   "b",
				Request:  laceledger.Request{Account: "c", ID: laceunit.RequestID(fmt.Sprint("r", i))},
				Response: &laceledger.Response{Status: 200, Body: make([]byte, 1<<10)},
			},
		})
	}
	if _, err := c.Flush(t.Context(), to, entries); err != nil {
		t.Errorf("64 entries: %v", err)
	}
	if _, err := c.Flush(t.Context(), to, entries[:1]); err == nil {
		t.Error("a small request got the timeout of a large one")
	}
}
