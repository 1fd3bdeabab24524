package laceconfig

import (
	"bytes"
	"testing"
)

// Guards against documents that crash the decoder, and against valid ones that change in an encoding round trip.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("models: {m: {context: 2, output: 1}}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := Decode(text)
		if err != nil {
			return
		}
		once, err := Encode(d)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(once)
		if err != nil {
			t.Fatalf("%v in\n%s", err, once)
		}
		twice, err := Encode(again)
		if err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("%v\n%s\n%s", err, once, twice)
		}
		c, err := Split(d)
		if err != nil {
			t.Fatal(err)
		}
		joined, err := Join(c)
		if err != nil {
			t.Fatal(err)
		}
		joined.Version = d.Version
		if text, err = Encode(joined); err != nil || !bytes.Equal(once, text) {
			t.Fatalf("%v\n%s\n%s", err, once, text)
		}
	})
}
