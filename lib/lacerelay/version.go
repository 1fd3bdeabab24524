package lacerelay

import (
	"context"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/lacestream"
	"lacewingcove/lib/laceunit"
)

// Streams knows the software versions that began streams. A stream is identified by the attempt of its caller that
// brought its first event.
type Streams interface {
	// Begin records that a server of a version has written an event of a stream, before the event is passed on. It
	// returns false if other instances could not learn of the version; End must follow otherwise.
	Begin(ctx context.Context, service laceunit.ServiceID, id laceunit.AttemptID, version laceunit.SoftwareVersion) bool
	// End records that a request for a stream has ended, and whether the stream was sent to its end.
	End(service laceunit.ServiceID, id laceunit.AttemptID, complete bool)
	// Find returns the software version of a stream, and false if it is not known.
	Find(ctx context.Context, service laceunit.ServiceID, id laceunit.AttemptID) (laceunit.SoftwareVersion, bool)
	// RetryAfter returns when the version of a stream that is not known may be known.
	RetryAfter() time.Duration
}

var _ Streams = (*lacestream.Service)(nil)

// streamID returns the attempt that brought, or is to bring, the first event of the request's stream; empty if the caller
// does not say. It also selects the service of a split route, so that a stream is continued at its service.
func (j *job) streamID() laceunit.AttemptID {
	if j.call.LastEventID != "" {
		return j.call.Resumes
	}
	return j.call.Attempt
}

// takeUp restricts a request that continues a stream to servers of its software version. It returns a refusal if the
// version is not known.
func (r *Relay) takeUp(ctx context.Context, j *job) *lacefault.Fault {
	if r.options.Streams == nil || j.softwareVersion != nil || j.call.LastEventID == "" || !j.route.Stream {
		return nil
	}
	v, ok := r.options.Streams.Find(ctx, j.service, j.streamID())
	if !ok {
		return newRefusal(lacefault.NoBackendServer, "the software version that began the stream is not known",
			r.options.Streams.RetryAfter())
	}
	j.softwareVersion = &v
	return nil
}

// bind restricts the request to servers of the software version that has written an event of its stream. It returns false
// if the event must not be passed on, since the stream could be taken up at servers of another version.
func (r *Relay) bind(ctx context.Context, j *job, server *backend) bool {
	version := server.Version
	if j.softwareVersion != nil {
		version = *j.softwareVersion
	}
	if r.options.Streams != nil && !j.noted {
		if !r.options.Streams.Begin(ctx, j.service, j.streamID(), version) {
			return false
		}
		j.noted = true
	}
	j.softwareVersion = &version
	return true
}

// endStreamNote records the end of a request for a stream.
func (r *Relay) endStreamNote(j *job) {
	if j.noted {
		r.options.Streams.End(j.service, j.streamID(), j.response.complete)
	}
}
