package lacerelay

import (
	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceshare"
)

// Notices of servers, as metrics have them.
const (
	noticeLeaving = "leaving"
	noticePause   = "pause"
	noticeUnread  = "unread"
	noticeLimit   = "limit"
)

// heed takes in what the header of an answer says about its server. It does so before anything of the answer is passed
// on, so that no caller can know of a notice that this instance does not keep.
func (r *Relay) heed(j *job, d lacebalancer.Decision, reply *Reply) {
	if reply.Leaving {
		r.options.Backends.MarkLeaving(d.Server, d.Ticket)
		r.options.Metrics.noticed(j, noticeLeaving)
	}
	if reply.Pause > 0 {
		r.options.Backends.MarkPaused(d.Server, d.Ticket, reply.Pause)
		r.options.Metrics.noticed(j, noticePause)
	} else {
		r.options.Picker.MarkResponseStarted(d.Ticket)
	}
	if reply.HeaderError != nil {
		r.options.Metrics.noticed(j, noticeUnread)
		r.options.Backends.LogHeaderError(d.Server, reply.HeaderError, reply.Pause)
	}
	r.limit(d, reply.Limit)
	if reply.Limit.Unread != nil {
		r.options.Metrics.noticed(j, noticeUnread)
		r.options.Backends.LogHeaderError(d.Server, reply.Limit.Unread, 0)
	}
	if reply.Limit.Named {
		r.options.Metrics.noticed(j, noticeLimit)
	}
	if reply.Load != nil {
		r.options.Picker.ReportLoad(d.Server, *reply.Load)
	}
}

// limit takes in what an answer says about how many requests its server takes.
func (r *Relay) limit(d lacebalancer.Decision, limit laceconn.Limit) {
	r.options.Backends.SetLimit(d.Server, limit)
	sending, ok := r.options.Picker.Sending(d.Ticket)
	if !ok || r.options.Shares == nil {
		return
	}
	r.options.Shares.ObserveLimit(laceshare.Server{
		ID:   sending.Server,
		Born: sending.StartTime,
	}, sending.At, limit)
}

// withheld reports whether the server of a placed request must not get it any more. The request then goes on like one
// that was given no server yet.
func (r *Relay) withheld(j *job, d lacebalancer.Decision, a *attempt) bool {
	hold := r.options.Picker.Hold(d.Ticket)
	if hold == lacebalancer.BlockNone {
		return false
	}
	r.options.Metrics.withheld(j, hold.String(), "recalled")
	a.end, a.reason, a.spared, a.recalled = notSent, "server says: "+hold.String(), true, true
	return true
}
