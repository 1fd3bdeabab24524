package lacereplica

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacewire"
)

// transfer is the answer to one call; it has a slot when it is a large one.
type transfer struct {
	control *http.ResponseController
	slotted bool
}

type transferKey struct{}

// bounded gives the slots of large answers back when these have been sent.
func (s *Service) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &transfer{control: http.NewResponseController(w)}
		defer s.sent(t)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), transferKey{}, t)))
	})
}

// admit takes the delta out of an answer that is too large to be sent now; the other side asks again, or somebody else.
func (s *Service) admit(ctx context.Context, m *lacewire.ConfigMessage) {
	t, ok := ctx.Value(transferKey{}).(*transfer)
	if !ok || proto.Size(m) < transferBytes {
		return
	}
	select {
	case s.sending <- struct{}{}:
		t.slotted = true
		// A receiver that has stopped reading must not keep the slot. Writers without deadlines don't block.
		_ = t.control.SetWriteDeadline(time.Now().Add(transferTimeout))
	default:
		m.Delta = nil
	}
}

func (s *Service) sent(t *transfer) {
	if t.slotted {
		_ = t.control.SetWriteDeadline(time.Time{})
		<-s.sending
	}
}
