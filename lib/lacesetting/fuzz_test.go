package lacesetting

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Guards against input that crashes the decoder, and against effective settings that change when encoded and decoded.
func FuzzDecode(f *testing.F) {
	text, err := os.ReadFile(filepath.Join("..", "..", "samples", "router.yaml"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte("lean: strict\ngrant: {offline: 0.1}\nplatform: {endpoints: []}\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Decode(text)
		if err != nil {
			return
		}
		first, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(first)
		if err != nil {
			t.Fatalf("%v in\n%s", err, first)
		}
		if second, err := Encode(decoded); err != nil || !bytes.Equal(first, second) {
			t.Fatalf("%v\n%s\n%s", err, first, second)
		}
	})
}
