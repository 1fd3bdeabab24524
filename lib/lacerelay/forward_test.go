package lacerelay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

// faultCodec writes the status of a fault.
type faultCodec struct{ emptyCodec }

// WriteFault implements Codec.
func (faultCodec) WriteFault(w http.ResponseWriter, _ Call, f *lacefault.Fault) {
	w.WriteHeader(f.Code.Status())
}

// Guards against instances that are avoided because a request had no time left for them. On a busy machine its context ends
// later than its deadline.
func TestLateRequestBlamesNoInstance(t *testing.T) {
	for name, c := range map[string]struct {
		left    time.Duration
		avoided bool
	}{
		"in time": {left: time.Minute, avoided: true},
		"late":    {left: -time.Millisecond},
	} {
		// Nothing listens at the port.
		peers := NewPeers(func() []laceunit.Address { return []laceunit.Address{"127.0.0.1:1"} }, nil)
		r := newTestRelay(t).Relay
		r.options.Codec, r.options.Peers = faultCodec{}, peers
		j := &job{
			route:    &laceroute.Route{},
			deadline: time.Now().Add(c.left),
			response: response{
				codec: faultCodec{},
				w:     httptest.NewRecorder(),
			},
		}
		r.forward(context.Background(), j)
		if available := peers.available(time.Now()); available == c.avoided {
			t.Errorf("%s: the instance may get requests: %t", name, available)
		}
	}
}
