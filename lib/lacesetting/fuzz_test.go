package lacesetting

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// Guards against settings that crash the decoder, and against effective settings that read back differently.
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
		once, err := Encode(s)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(once)
		if err != nil {
			t.Fatalf("%v in\n%s", err, once)
		}
		if twice, err := Encode(again); err != nil || !bytes.Equal(once, twice) {
			t.Fatalf("%v\n%s\n%s", err, once, twice)
		}
	})
}
