package lacepack

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
)

// routeDocument returns a document with n routes. The names are random, since real ones differ from route to route.
func routeDocument(seed uint64, n int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var document bytes.Buffer
	for range n {
		fmt.Fprintf(&document,
			`{"name":"%x","hostname":"shop.example","path_prefix":"/%x/%x/","route_type":"streaming","timeout_ms":%d,`+
				`"target_latency_ms":1000,"priority":2,"service":"models","max_attempts":2,"sticky":true,"resumable":true},`,
			r.Uint32(), r.Uint32(), r.Uint32(), 1000+r.IntN(5000))
	}
	return document.Bytes()
}

// Guards against a small change that takes as much bandwidth as the whole document.
func TestSmallChangePacksSmall(t *testing.T) {
	original := routeDocument(1, 2170)
	changed := bytes.Replace(original, []byte(`"timeout_ms":2`), []byte(`"timeout_ms":3`), 1)
	for name, c := range map[string]struct {
		data, dictionary []byte
		maxSize          int
	}{
		"one field": {data: changed, dictionary: original, maxSize: 2 << 10},
		"route moved": {
			data:       append(original[len(original)/2:len(original):len(original)], original[:len(original)/2]...),
			dictionary: original,
			maxSize:    2 << 10,
		},
		"routes added":  {data: original, dictionary: original[:len(original)/2], maxSize: 40 << 10},
		"no dictionary": {data: original, maxSize: 90 << 10},
	} {
		packed, err := Pack(c.data, c.dictionary)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d of %d bytes", name, len(packed), len(c.data))
		if len(packed) > c.maxSize {
			t.Errorf("%s: %d bytes of %d, want at most %d", name, len(packed), len(c.data), c.maxSize)
		}
		data, err := Unpack(packed, c.dictionary, len(c.data), Checksum(c.data))
		if err != nil || !bytes.Equal(data, c.data) {
			t.Errorf("%s: unpacked to %d bytes, error %v", name, len(data), err)
		}
	}
}

// Guards against a document that is unpacked with the wrong dictionary or from corrupt bytes, or that exceeds the
// memory limit.
func TestInvalidMessageIsNotUnpacked(t *testing.T) {
	dictionary, otherDictionary, data := routeDocument(1, 100), routeDocument(2, 100), routeDocument(1, 110)
	packed, err := Pack(data, dictionary)
	if err != nil {
		t.Fatal(err)
	}
	sum := Checksum(data)
	for name, c := range map[string]struct {
		packed, dictionary []byte
		maxSize            int
		want               error
	}{
		"another dictionary": {packed: packed, dictionary: otherDictionary, maxSize: len(data), want: ErrChecksumMismatch},
		"cut": {
			packed:     packed[:len(packed)/2],
			dictionary: dictionary,
			maxSize:    len(data),
			want:       ErrMalformed,
		},
		"too large":  {packed: packed, dictionary: dictionary, maxSize: len(data) / 2, want: ErrMalformed},
		"no message": {packed: []byte("no message"), dictionary: dictionary, maxSize: len(data), want: ErrMalformed},
	} {
		if got, err := Unpack(c.packed, c.dictionary, c.maxSize, sum); !errors.Is(err, c.want) {
			t.Errorf("%s: %d bytes, error %v instead of %v", name, len(got), err, c.want)
		}
	}
}

func BenchmarkPack(b *testing.B) {
	original := routeDocument(1, 1131)
	changed := bytes.Replace(original, []byte(`"timeout_ms":2`), []byte(`"timeout_ms":3`), 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Pack(changed, original); err != nil {
			b.Fatal(err)
		}
	}
}
