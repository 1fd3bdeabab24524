package lacerelay

import (
	"time"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/laceconn"
	"lacewingcove/lib/laceshare"
)

// Values of the metric label for control information in the responses of servers.
const (
	noticeLeaving     = "leaving"
	noticePause       = "pause"
	noticeUnreadable  = "unread"
	noticeLimit       = "limit"
	noticeMisdirected = "misdirected"
	noticeBrittle     = "brittle"
	// noticeBrittleRejection is a request that a brittle server rejected for lack of room.
	noticeBrittleRejection = "brittle_full"
)

// applyReply applies the control information in a response header: leaving, pause, rate limit and load. It does so
// before any part of the response is forwarded, so that no caller can see a notice that this instance does not observe
// yet.
func (r *Relay) applyReply(j *job, d lacebalancer.Decision, a *attempt) {
	reply := &a.reply
	if reply.Misdirected {
		r.options.Backends.MarkMisdirected(time.Now(), d.Server, a.backend.StartTime)
		r.options.Metrics.countNotice(j, noticeMisdirected)
	}
	if reply.Leaving {
		r.options.Backends.MarkLeaving(d.Server, d.Ticket)
		j.leaving = append(j.leaving, leavingServer{
			id:        d.Server,
			startTime: a.backend.StartTime,
		})
		r.options.Metrics.countNotice(j, noticeLeaving)
	}
	if reply.Pause > 0 {
		r.options.Backends.MarkPaused(d.Server, d.Ticket, reply.Pause)
		r.options.Metrics.countNotice(j, noticePause)
	} else {
		r.options.Picker.MarkResponseStarted(d.Ticket)
	}
	if reply.HeaderError != nil {
		r.options.Metrics.countNotice(j, noticeUnreadable)
		r.options.Backends.LogHeaderError(d.Server, reply.HeaderError, reply.Pause)
	}
	r.applyLimit(d, reply.Limit)
	if reply.Limit.ParseError != nil {
		r.options.Metrics.countNotice(j, noticeUnreadable)
		r.options.Backends.LogHeaderError(d.Server, reply.Limit.ParseError, 0)
	}
	if reply.Limit.Present {
		r.options.Metrics.countNotice(j, noticeLimit)
	}
	r.applyBrittle(j, d, a)
	if reply.Load != nil {
		r.options.Picker.ReportLoad(d.Server, *reply.Load)
	}
}

// applyLimit applies the rate limit in a response of a server.
func (r *Relay) applyLimit(d lacebalancer.Decision, limit laceconn.RateLimit) {
	r.options.Backends.SetLimit(d.Server, limit)
	sending, ok := r.options.Picker.Sending(d.Ticket)
	if !ok || r.options.Shares == nil {
		return
	}
	r.options.Shares.ObserveLimit(laceshare.Server{
		ID:        sending.Server,
		StartTime: sending.StartTime,
	}, sending.At, limit)
}

// placementRevoked reports whether the request must not be sent to its server any more, because the server became
// unavailable (leaving, paused or rate limited) after it was picked. The request then gets another server, as if none
// had been picked.
func (r *Relay) placementRevoked(j *job, d lacebalancer.Decision, a *attempt) bool {
	hold := r.options.Picker.Hold(d.Ticket)
	if hold == lacebalancer.BlockNone {
		return false
	}
	r.options.Metrics.countWithheld(j, hold.String(), "recalled")
	a.outcome, a.reason, a.neutral, a.revoked = attemptNotSent, "server says: "+hold.String(), true, true
	return true
}
