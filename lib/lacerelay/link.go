package lacerelay

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// Link does admission control by the bandwidth of the machine's network link.
type Link interface {
	Admit(now time.Time, r lacelimit.LinkRequest) lacelimit.LinkVerdict
	// Refused reports how many bytes of the body of a refused request have arrived.
	Refused(now time.Time, body laceunit.Bytes)
	// End reports how many bytes an admitted request has transferred.
	End(now time.Time, r lacelimit.LinkRequest, v lacelimit.LinkVerdict, p lacelimit.Transfer)
	// Saturated reports whether the link was lately used to its capacity, so that packets are delayed by it.
	Saturated(now time.Time) bool
}

// linkUsage is the use of the machine's network link by one request.
type linkUsage struct {
	request lacelimit.LinkRequest
	verdict lacelimit.LinkVerdict
	// refused is true when the link had no capacity for the request.
	refused bool
	// received is the size of all responses from servers, including those of failed attempts.
	received laceunit.Bytes
}

func (u *linkUsage) addReceived(n int) { u.received += laceunit.Bytes(n) }

// admitToLink requests admission by the link. It runs before the body is read.
func (r *Relay) admitToLink(w http.ResponseWriter, q *http.Request, j *job) *lacefault.Fault {
	if r.options.Link == nil {
		return nil
	}
	j.link.request = lacelimit.LinkRequest{
		Account: j.account,
		Rank:    j.rank,
		Route:   j.route.Name,
		Body:    laceunit.Bytes(q.ContentLength),
		Key:     retryKey(j, q.ContentLength),
		Jitter:  rand.Float64(),

		Remaining: j.deadline.Sub(j.arrived),
	}
	j.link.verdict = r.options.Link.Admit(j.arrived, j.link.request)
	v := j.link.verdict
	if v.Admitted {
		return nil
	}
	j.refusalFields = []lacelog.Pair{
		lacelog.P("need_bytes", v.Cost), lacelog.P("link_kbps", int64(v.Rate)*bitsPerByte/bitsPerKilobit),
		lacelog.P("link_percent", int64(v.Utilization*percent)),
	}
	r.spareLink(w, q, j)
	return newRefusal(lacefault.Overloaded, "the link of the instance is full", v.Wait)
}

// spareLink prepares the refusal of a request whose body the link has no capacity for; drain must follow it.
func (r *Relay) spareLink(w http.ResponseWriter, q *http.Request, j *job) {
	j.link.refused = true
	// Without full duplex, the server would read the body before it sends the response. An error means that the response
	// does not wait for the body anyway.
	_ = http.NewResponseController(w).EnableFullDuplex()
	if !keepsConnection(q) {
		closeAfterResponse(w)
	}
}

// drain discards the unread body of a refused request after the response was sent. Otherwise net/http reads it and then
// drops the connection (go 1.26, full duplex: "invalid concurrent Body.Read call"). Errors close the connection.
func (r *Relay) drain(w http.ResponseWriter, q *http.Request, j *job) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	if !keepsConnection(q) {
		// With an expired deadline, net/http reads nothing when it closes the body.
		_ = control.SetReadDeadline(j.arrived)
		r.options.Link.Refused(time.Now(), keptBodyBytes)
		return
	}
	_ = control.SetReadDeadline(j.arrived.Add(bodyReadTimeout))
	n, _ := io.Copy(io.Discard, q.Body)
	_ = control.SetReadDeadline(time.Time{})
	r.options.Link.Refused(time.Now(), laceunit.Bytes(n))
}

// keptBodyBytes is the largest body of a refused request that is read to keep its connection open. The caller has sent
// as much before it can get the refusal (ten packets, the initial window of TCP), so that reading it takes nothing more
// of the link.
const keptBodyBytes = 14 << 10

// keepsConnection reports whether the connection of a refused request stays open.
func keepsConnection(q *http.Request) bool {
	return q.ContentLength >= 0 && q.ContentLength <= keptBodyBytes
}

// closeAfterResponse lets net/http close the connection after the response as it does for a body that exceeds its limit:
// it closes the sending side first and waits before it closes the receiving side, since a reset could overtake the
// response. There is no other way to request this.
func closeAfterResponse(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	var excess [1]byte
	// The error is that the limit is exceeded.
	_, _ = http.MaxBytesReader(w, io.NopCloser(bytes.NewReader(excess[:])), 0).Read(excess[:])
}

const (
	bitsPerByte    = 8
	bitsPerKilobit = 1000
	percent        = 100
)

// retryKey returns the same key for a request and its retry after a refusal, although their attempt ids differ.
func retryKey(j *job, bodyLength int64) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(j.account), j.call.Method, j.call.Host, j.call.Target} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64() + uint64(bodyLength)
}

// releaseLink reports the transferred bytes of a request to the link; each attempt sends the body again.
func (r *Relay) releaseLink(j *job) {
	if r.options.Link == nil || !j.link.verdict.Admitted {
		return
	}
	r.options.Link.End(time.Now(), j.link.request, j.link.verdict, lacelimit.Transfer{
		Body:      laceunit.Bytes(len(j.body)),
		Sent:      laceunit.Bytes(len(j.body) * j.history.sent),
		Response:  j.link.received,
		Forwarded: j.response.sent,
		Complete:  j.response.complete && !j.response.startedAt.IsZero(),
	})
}
