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

const narrowDeadline = 500 * time.Millisecond

// narrowLink is a transport that passes the body of an answer in some pieces, with a pause after each.
type narrowLink struct {
	base   http.RoundTripper
	pieces int64
	bytes  atomic.Int64
}

func (n *narrowLink) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := n.base.RoundTrip(r)
	if err == nil {
		response.Body = &narrowBody{
			ReadCloser: response.Body,
			link:       n,
			ctx:        r.Context(),
			size:       response.ContentLength/n.pieces + 1,
		}
	}
	return response, err
}

type narrowBody struct {
	io.ReadCloser
	link *narrowLink
	ctx  context.Context
	size int64
}

func (b *narrowBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(narrowDeadline / 4):
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.size)])
	b.link.bytes.Add(int64(n))
	return n, err
}

// fleetOf returns a record of some members.
func fleetOf(count int) lacemember.Record {
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

// Guards against an answer with the bindings of a large fleet that never arrives, because it is given up while it moves and
// takes its whole size of the link.
func TestALargeAnswerMayTakeAsLongAsItMoves(t *testing.T) {
	const (
		members, bindings = 340, 20
		// mostBytes is a second of a link of 30 kB/s; the answer has 540 KB.
		mostBytes = 30_000
	)
	link := &narrowLink{
		base:   &http.Transport{DisableCompression: true},
		pieces: 8,
	}
	p, c, to := serve(t, WithHTTP(&http.Client{Transport: link}), WithIdleTimeout(narrowDeadline))
	t.Cleanup(link.base.(*http.Transport).CloseIdleConnections)
	record := fleetOf(members)
	reply := lacemember.AckReply{
		From:         p.self,
		Acknowledged: true,
		Epoch:        9,
	}
	for i := range bindings {
		reply.Bindings = append(reply.Bindings, lacemember.Binding{
			Home:   record.Members[i],
			Round:  3,
			Record: record,
		})
	}
	p.answer = reply
	began := time.Now()
	got, err := c.Call(t.Context(), to, lacemember.AckAsk{})
	if err != nil {
		t.Fatalf("%v after %s", err, time.Since(began))
	}
	if a, ok := got.(lacemember.AckReply); !ok || len(a.Bindings) != bindings {
		t.Errorf("got %T", got)
	}
	if n := link.bytes.Load(); n > mostBytes {
		t.Errorf("%d bytes", n)
	}
}

// slowUpload delays each answer as a narrow link delays a large request.
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

// Guards against a batch of a journal that never reaches the instance that is to submit it, because it takes longer than a
// small call may.
func TestALargeRequestHasTheTimeThatItsSizeTakes(t *testing.T) {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	_, c, to := serve(t, WithIdleTimeout(narrowDeadline), WithHTTP(&http.Client{Transport: &slowUpload{
		base:  transport,
		delay: 2 * narrowDeadline,
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
		t.Error("a small request was waited for as long")
	}
}
