package lacereplica

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"lacewingcove/lib/lacewire"
)

// outgoingReply is the reply to one call; it occupies a slot when it is large.
type outgoingReply struct {
	controller *http.ResponseController
	hasSlot    bool
}

type replyKey struct{}

// releaseLargeReplySlots wraps a handler and releases the slot of each large reply once the reply has been sent.
func (s *Service) releaseLargeReplySlots(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		t := &outgoingReply{controller: http.NewResponseController(w)}
		defer s.releaseSlot(t)
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), replyKey{}, t)))
	})
}

// limitLargeReplies acquires a slot for a large reply, or removes the delta if no slot is free; the peer then queries
// again or queries another instance.
func (s *Service) limitLargeReplies(ctx context.Context, m *lacewire.ConfigMessage) {
	t, ok := ctx.Value(replyKey{}).(*outgoingReply)
	if !ok || proto.Size(m) < largeReplyBytes {
		return
	}
	select {
	case s.largeReplySlots <- struct{}{}:
		t.hasSlot = true
		// A receiver that has stopped reading must not occupy the slot. Writers that don't support deadlines don't block.
		_ = t.controller.SetWriteDeadline(time.Now().Add(transferTimeout))
	default:
		m.Delta = nil
	}
}

func (s *Service) releaseSlot(t *outgoingReply) {
	if t.hasSlot {
		_ = t.controller.SetWriteDeadline(time.Time{})
		<-s.largeReplySlots
	}
}
