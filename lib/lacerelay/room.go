package lacerelay

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacelimit"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// Link decides which requests the machine's link has room for.
type Link interface {
	Admit(now time.Time, r lacelimit.LinkRequest) lacelimit.LinkVerdict
	// End takes in what an admitted request has moved.
	End(now time.Time, r lacelimit.LinkRequest, v lacelimit.LinkVerdict, p lacelimit.Transfer)
}

// room is what a request takes of the machine's link.
type room struct {
	request lacelimit.LinkRequest
	verdict lacelimit.LinkVerdict
	// refused is true when there was none for it.
	refused bool
	// answer is the bytes of all answers that servers have sent.
	answer laceunit.Bytes
}

func (o *room) answered(n int) { o.answer += laceunit.Bytes(n) }

// enter asks for room on the link, before anything of the body is read.
func (r *Relay) enter(w http.ResponseWriter, q *http.Request, j *job) *lacefault.Fault {
	if r.options.Link == nil {
		return nil
	}
	j.room.request = lacelimit.LinkRequest{
		Account: j.account,
		Rank:    j.rank,
		Route:   j.route.Name,
		Body:    laceunit.Bytes(q.ContentLength),
		Key:     repetition(j, q.ContentLength),
	}
	j.room.verdict = r.options.Link.Admit(j.arrived, j.room.request)
	v := j.room.verdict
	if v.Admitted {
		return nil
	}
	j.room.refused = true
	j.figures = []lacelog.Pair{
		lacelog.P("need_bytes", v.Cost), lacelog.P("link_kbps", int64(v.Rate)*bitsOfByte/bytesOfKilobyte),
		lacelog.P("link_percent", int64(v.Utilization*percent)),
	}
	// Otherwise the answer would wait for the body that there is no room for. An error means that it does not wait.
	_ = http.NewResponseController(w).EnableFullDuplex()
	return fault(lacefault.Overloaded, "the link of the instance is full", v.Wait)
}

// drain reads the body of a request that was refused before it was read, after the answer. Without that the server reads it
// and then loses the connection (go 1.26, full duplex: "invalid concurrent Body.Read call"). Errors end the connection.
func drain(w http.ResponseWriter, q *http.Request, j *job) {
	control := http.NewResponseController(w)
	_ = control.Flush()
	_ = control.SetReadDeadline(j.arrived.Add(bodyWait))
	_, _ = io.Copy(io.Discard, io.LimitReader(q.Body, drainBytes))
	_ = control.SetReadDeadline(time.Time{})
}

// drainBytes is how much of a refused body is read to keep its connection, as much as the server itself would read.
const drainBytes = 256 << 10

const (
	bitsOfByte      = 8
	bytesOfKilobyte = 1000
	percent         = 100
)

// repetition is the same for a request and one that repeats it after a refusal, whose attempt id is another.
func repetition(j *job, length int64) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(j.account), j.call.Method, j.call.Host, j.call.Target} {
		// Writing to a hash does not fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64() + uint64(length)
}

// release tells the link what a request has moved; each attempt sends the body again.
func (r *Relay) release(j *job) {
	if r.options.Link == nil || !j.room.verdict.Admitted {
		return
	}
	r.options.Link.End(time.Now(), j.room.request, j.room.verdict, lacelimit.Transfer{
		Body:     laceunit.Bytes(len(j.body) * max(j.progress.sends, 1)),
		Response: j.room.answer,
		Complete: j.response.ended && !j.response.begun.IsZero(),
	})
}
