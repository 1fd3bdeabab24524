package lacebackend

import (
	"testing"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceemulator"
)

// Guards against load reports, cache events, lookups, orders and streams that are taken from a response with an invalid
// head.
func TestControlCallsRejectInvalidHeads(t *testing.T) {
	const rest = "Lace-Attempt: a\r\nContent-Type: text/event-stream\r\nContent-Length: 2\r\n\r\n{}"
	for _, head := range []string{laceemulator.InvalidStatus, laceemulator.InvalidField} {
		h, server := startServer(t, laceemulator.RawResponse(head+rest).ServeHTTP)
		calls := map[string]func() error{
			"load":   func() error { _, err := h.Load(t.Context(), server); return err },
			"events": func() error { _, err := h.Events(t.Context(), server, 0); return err },
			"lookup": func() error { _, err := h.Lookup(t.Context(), server, "acct/r"); return err },
			"state":  func() error { _, err := h.ReadState(t.Context(), server); return err },
			"cancel": func() error { return h.Cancel(t.Context(), server, "acct/r", "a") },
			"stream": func() error { _, err := h.Generate(t.Context(), server, GenerateRequest{Attempt: "a"}); return err },
		}
		for name, call := range calls {
			if err := call(); !errors.Is(err, ErrMalformed) || EffectOf(err) != EffectUnknown {
				t.Errorf("%s with head %q: error %v", name, head, err)
			}
		}
	}
}
