package lacepack

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/pkg/errors"
)

// routes returns a document with some routes; names differ as those of operators do.
func routes(seed uint64, n int) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	var text bytes.Buffer
	for range n {
		fmt.Fprintf(&text, `{"name":"%x","hostname":"shop.example","path_prefix":"/%x/%x/","route_type":"streaming","timeout_ms":%d,`+
			`"target_latency_ms":1000,"priority":2,"service":"models","max_attempts":2,"sticky":true,"resumable":true},`,
			r.Uint32(), r.Uint32(), r.Uint32(), 1000+r.IntN(5000))
	}
	return text.Bytes()
}

// Guards against changes that cost as much of a link as the whole document.
func TestAChangeIsSmall(t *testing.T) {
	whole := routes(1, 2170)
	changed := bytes.Replace(whole, []byte(`"timeout_ms":2`), []byte(`"timeout_ms":3`), 1)
	for name, c := range map[string]struct {
		text, base []byte
		most       int
	}{
		"one field":    {text: changed, base: whole, most: 2 << 10},
		"route moved":  {text: append(whole[len(whole)/2:len(whole):len(whole)], whole[:len(whole)/2]...), base: whole, most: 2 << 10},
		"routes added": {text: whole, base: whole[:len(whole)/2], most: 40 << 10},
		"no base":      {text: whole, most: 90 << 10},
	} {
		packed, err := Pack(c.text, c.base)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d of %d bytes", name, len(packed), len(c.text))
		if len(packed) > c.most {
			t.Errorf("%s: %d bytes of %d, %d wanted", name, len(packed), len(c.text), c.most)
		}
		text, err := Unpack(packed, c.base, len(c.text), Checksum(c.text))
		if err != nil || !bytes.Equal(text, c.text) {
			t.Errorf("%s: unpacked to %d bytes, error %v", name, len(text), err)
		}
	}
}

// Guards against a document that is put together from a base that the sender did not mean, from damaged bytes, or that takes all
// memory.
func TestOnlyTheMeantMessageUnpacks(t *testing.T) {
	base, other, text := routes(1, 100), routes(2, 100), routes(1, 110)
	packed, err := Pack(text, base)
	if err != nil {
		t.Fatal(err)
	}
	sum := Checksum(text)
	for name, c := range map[string]struct {
		packed, base []byte
		most         int
		want         error
	}{
		"other base": {packed: packed, base: other, most: len(text), want: ErrChecksumMismatch},
		"cut":        {packed: packed[:len(packed)/2], base: base, most: len(text), want: ErrMalformed},
		"too large":  {packed: packed, base: base, most: len(text) / 2, want: ErrMalformed},
		"no message": {packed: []byte("no message"), base: base, most: len(text), want: ErrMalformed},
	} {
		if got, err := Unpack(c.packed, c.base, c.most, sum); !errors.Is(err, c.want) {
			t.Errorf("%s: %d bytes, error %v instead of %v", name, len(got), err, c.want)
		}
	}
}

func BenchmarkPack(b *testing.B) {
	whole := routes(1, 1131)
	changed := bytes.Replace(whole, []byte(`"timeout_ms":2`), []byte(`"timeout_ms":3`), 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Pack(changed, whole); err != nil {
			b.Fatal(err)
		}
	}
}
