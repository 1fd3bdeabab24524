package lacerelay

import (
	"net/http"

	"lacewingcove/lib/lacebalancer"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceunit"
)

// Brittle is what a response says of the brittleness of its server.
type Brittle struct {
	// Present is true when the response has the header, even if it can't be parsed.
	Present bool
	// MaxRejections is the number of requests a second that the server can reject for lack of room without failing.
	MaxRejections laceunit.Rate
	// ParseError is not nil when the header can't be parsed. The response then says nothing.
	ParseError error
}

// applyBrittle applies what a response says of the brittleness of its server.
func (r *Relay) applyBrittle(j *job, d lacebalancer.Decision, a *attempt) {
	x := a.reply.Brittle
	if x.ParseError != nil {
		r.options.Metrics.countNotice(j, noticeUnreadable)
		r.options.Backends.LogHeaderError(d.Server, x.ParseError, 0)
		return
	}
	if a.reply.Misdirected {
		// Another server has responded.
		return
	}
	instances := 1
	if r.options.Members != nil {
		instances = r.options.Members()
	}
	rejected := a.reply.NotRun && a.status == http.StatusServiceUnavailable
	if r.options.Picker.ObserveBrittle(d.Ticket, lacebalancer.BrittleObservation{
		Brittle:       x.Present,
		MaxRejections: x.MaxRejections,
		Instances:     instances,
		Rejected:      rejected,
		Load:          a.reply.Load,
	}) {
		r.options.Log.Write(lacelog.ServerState, lacelog.P(lacelog.ServerID, d.Server),
			lacelog.P(lacelog.Service, j.service), lacelog.P("state", brittleState(x)),
			lacelog.P("rejections", x.MaxRejections))
	}
	if !x.Present {
		return
	}
	r.options.Metrics.countNotice(j, noticeBrittle)
	if rejected {
		r.options.Metrics.countNotice(j, noticeBrittleRejection)
	}
}

// brittleState returns the state of the server in the log.
func brittleState(x Brittle) string {
	if x.Present {
		return stateBrittle
	}
	return stateNotBrittle
}
