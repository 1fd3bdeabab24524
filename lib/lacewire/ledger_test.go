package lacewire

import (
	"errors"
	"reflect"
	"testing"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// entryWithAllRecords returns an entry with records of all types.
func entryWithAllRecords() laceledger.Entry {
	h := laceunit.Holder{Instance: "i", Incarnation: 7}
	r := laceledger.Request{Account: "a", ID: "r"}
	response := &laceledger.Response{Status: 201, ContentType: "text/plain", Body: []byte{0, 255}}
	return laceledger.Entry{
		Sequence: 9, Appender: h, Tag: 1 << 63, At: 5, Cutoff: laceledger.Cutoff{Idempotent: -3, NonIdempotent: 4},
		Records: []laceledger.Record{
			laceledger.TopUp{Budget: "b", Account: "a", ID: "t", Tokens: 1 << 40, Actor: "w"},
			laceledger.Open{
				Budget: "b", Grant: "g", Holder: h, Tokens: 9, MinTokens: 3, Offline: 2,
				Witnesses: []laceunit.Holder{h, {}}, Serial: 1,
			},
			laceledger.Return{Budget: "b", Grant: "g", Tokens: 1, Offline: 1, Serial: 2},
			laceledger.Close{Budget: "b", Grant: "g"},
			laceledger.Fence{Epoch: 4, Members: []laceunit.Holder{h}, MaxIncarnation: 9},
			laceledger.Release{Budget: "b", Grant: "g", Actor: "w"},
			laceledger.Intent{
				Budget: "b", Request: r, Digest: "00ff", Grant: "g", Ceiling: 3, Attempt: "1", Server: "s",
				Idempotent: true, At: 6,
			},
			laceledger.Takeover{Budget: "b", Request: r, From: "1", Attempt: "2", Grant: "h", Server: "s", At: 6},
			laceledger.Settle{Budget: "b", Request: r, Attempt: "2", Tokens: 3, Response: response, At: 6},
			laceledger.Void{Budget: "b", Request: r, Attempt: "2", Digest: "00ff", Idempotent: true, At: 6},
			laceledger.Offline{
				Budget: "c", Request: r, Digest: "00FF", Grant: "g", Attempt: "2", Server: "s", Tokens: 3,
				Idempotent: true, Finished: true, Response: response, At: 6,
			},
			laceledger.Fence{Epoch: 4, Members: []laceunit.Holder{{Instance: "i", Incarnation: 2}}, MaxIncarnation: 9},
		},
	}
}

// stateWithAllFields returns a snapshot and segments in which all fields are set.
func stateWithAllFields(t testing.TB) (laceledger.Snapshot, []laceledger.Segment) {
	var s laceledger.State
	h := laceunit.Holder{Instance: "i", Incarnation: 7}
	request := func(id string) laceledger.Request {
		return laceledger.Request{Account: "a", ID: laceunit.RequestID(id)}
	}
	e, vs := s.Propose([]laceledger.Record{
		laceledger.TopUp{Budget: "b", Account: "a", ID: "t", Tokens: 100},
		laceledger.Open{
			Budget: "b", Grant: "g", Holder: h, Tokens: 90, Offline: 20, Witnesses: []laceunit.Holder{h}, Serial: 1,
		},
		laceledger.Intent{
			Budget: "b", Request: request("open"), Digest: "ab", Grant: "g", Ceiling: 3, Attempt: "1", Server: "s",
		},
		laceledger.Offline{Budget: "b", Request: request("offline"), Grant: "g", Attempt: "1", Tokens: 5, Idempotent: true},
		laceledger.Intent{Budget: "b", Request: request("once"), Grant: "g", Ceiling: 4, Attempt: "1"},
		laceledger.Settle{
			Budget: "b", Request: request("once"), Attempt: "1", Tokens: 2,
			Response: &laceledger.Response{Status: 200, Body: []byte("x")},
		},
		laceledger.Offline{
			Budget: "b", Request: request("again"), Grant: "g", Attempt: "1", Tokens: 5, Idempotent: true,
			Finished: true,
		},
		laceledger.Close{Budget: "b", Grant: "g"},
	}, 50, laceledger.Cutoff{Idempotent: 1, NonIdempotent: 2})
	for i, v := range vs {
		if v.Result != laceledger.Accepted {
			t.Fatalf("record %d: result %d", i, v.Result)
		}
	}
	if err := s.Apply(e); err != nil {
		t.Fatal(err)
	}
	return s.Snapshot(), []laceledger.Segment{s.Segment(0, 0, 10), s.Segment(1, 0, 10)}
}

// Guards against a field that is lost or changed by encoding and decoding, and against a decoder that accepts truncated
// input.
func TestStoredValueRoundTrip(t *testing.T) {
	e := entryWithAllRecords()
	b, err := EncodeEntry(e)
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeEntry(b)
	if err != nil || !reflect.DeepEqual(got, e) {
		t.Fatalf("got %+v, %v\nwant %+v", got, err, e)
	}
	if _, err = DecodeEntry(b[:len(b)-1]); !errors.Is(err, ErrMalformed) {
		t.Fatalf("truncated entry: %v", err)
	}
	p, segments := stateWithAllFields(t)
	if b, err = EncodeSnapshot(p); err != nil {
		t.Fatal(err)
	}
	q, err := DecodeSnapshot(b)
	if err != nil {
		t.Fatal(err)
	}
	var decodedSegments []laceledger.Segment
	for _, g := range segments {
		if b, err = EncodeSegment(g); err != nil {
			t.Fatal(err)
		}
		n, decodeErr := DecodeSegment(b)
		if decodeErr != nil || !reflect.DeepEqual(n, g) || len(n.Ended) != 1 {
			t.Fatalf("got %+v, %v\nwant %+v", n, decodeErr, g)
		}
		decodedSegments = append(decodedSegments, n)
	}
	s, err := laceledger.Restore(q, decodedSegments)
	if err != nil || !reflect.DeepEqual(s.Snapshot(), p) {
		t.Fatalf("got %+v, %v\nwant %+v", s.Snapshot(), err, p)
	}
}

// Guards against a verdict, balance or writer that loses a field by encoding and decoding.
func TestMessageRoundTrip(t *testing.T) {
	_, segments := stateWithAllFields(t)
	e := segments[1].Ended[0].State
	v := laceledger.Verdict{Result: laceledger.Duplicate, Granted: 1, Offline: 2, Available: 3, Existing: &e}
	if got, err := ToVerdict(FromVerdict(v)); err != nil || !reflect.DeepEqual(got, v) {
		t.Fatalf("got %+v, %v", got, err)
	}
	if _, err := ToVerdict(&LedgerVerdict{Result: 99}); !errors.Is(err, ErrMalformed) {
		t.Fatalf("got %v", err)
	}
	b := laceledger.Balance{Budget: "b", Account: "a", Paid: 3, Settled: 1, Outstanding: 2, Grants: []laceledger.Grant{{
		ID: "g", Holder: e.Holder, Tokens: 2, Reserved: 1, Offline: 1, Closed: true, Witnesses: []laceunit.Holder{e.Holder},
	}}}
	if got := ToBalance(FromBalance(b)); !reflect.DeepEqual(got, b) {
		t.Fatalf("got %+v", got)
	}
	w, err := EncodeWriter(e.Holder, "1.2.3.4:5")
	if err != nil {
		t.Fatal(err)
	}
	if h, a, err := DecodeWriter(w); err != nil || h != e.Holder || a != "1.2.3.4:5" {
		t.Fatalf("got %v, %v, %v", h, a, err)
	}
}

// checkDecoded checks that a decoder either fails with ErrMalformed or returns a value that is unchanged by encoding
// and decoding. It returns the value, and whether there is one.
func checkDecoded[T any](
	t *testing.T, b []byte, decode func([]byte) (T, error), encode func(T) ([]byte, error),
) (T, bool) {
	v, err := decode(b)
	if err != nil {
		if !errors.Is(err, ErrMalformed) {
			t.Fatalf("error of another kind: %v", err)
		}
		return v, false
	}
	reencoded, err := encode(v)
	if err != nil {
		t.Fatalf("can't encode the decoded value: %v", err)
	}
	if w, err := decode(reencoded); err != nil || !reflect.DeepEqual(v, w) {
		t.Fatalf("got %+v, %v\nwant %+v", w, err, v)
	}
	return v, true
}

// Guards against a panic on a corrupt log entry, and against one that makes the state inconsistent.
func FuzzDecodeEntry(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		e, ok := checkDecoded(t, b, DecodeEntry, EncodeEntry)
		if !ok {
			return
		}
		var s laceledger.State
		e.Sequence = 1
		if err := s.Apply(e); err == nil {
			if err = s.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a panic on a corrupt snapshot, and against one that is restored although it is inconsistent.
func FuzzDecodeSnapshot(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		p, ok := checkDecoded(t, b, DecodeSnapshot, EncodeSnapshot)
		if !ok {
			return
		}
		if s, err := laceledger.Restore(p, nil); err == nil {
			if err = s.Check(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// Guards against a panic on a corrupt segment.
func FuzzDecodeSegment(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		if g, ok := checkDecoded(t, b, DecodeSegment, EncodeSegment); ok {
			_, _ = laceledger.Restore(
				laceledger.Snapshot{NextNumber: [laceledger.RetentionClassCount]uint64{g.Next, g.Next}},
				[]laceledger.Segment{g},
			)
		}
	})
}

// Guards against a panic on a corrupt snapshot head.
func FuzzDecodeHead(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := DecodeHead(b); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("error of another kind: %v", err)
		}
	})
}

// Guards against a panic on a corrupt value of a writer key.
func FuzzDecodeWriter(f *testing.F) {
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, _, err := DecodeWriter(b); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("error of another kind: %v", err)
		}
	})
}
