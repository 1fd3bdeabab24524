package lacetrace

import (
	"bytes"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/lacerequest"
	"lacewingcove/lib/laceunit"
)

// Guards against a change of the effects of recorded traces, and against a trace that changes when it is encoded and
// decoded.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, f := range files {
		name := strings.TrimSuffix(filepath.Base(f), ".trace")
		t.Run(name, func(t *testing.T) {
			text, err := os.ReadFile(f)
			if err != nil {
				t.Fatal(err)
			}
			trace, err := Decode(bytes.NewReader(text))
			if err != nil {
				t.Fatal(err)
			}
			var encoded bytes.Buffer
			if err = Encode(&encoded, trace); err != nil {
				t.Fatal(err)
			}
			decoded, err := Decode(&encoded)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(trace, decoded); d != "" {
				t.Fatal(d)
			}
			replayed, _ := Replay(trace)
			goldie.New(t).Assert(t, name, []byte(replayed))
		})
	}
}

// Guards against a malformed trace that is decoded as a different valid one.
func TestDecodeRejectsMalformedTrace(t *testing.T) {
	spec := `{"spec":{"claim":"c"}}` + "\n"
	for name, text := range map[string]string{
		"no spec":        `{"gone":{}}`,
		"unknown field":  spec + `{"gone":{},"x":1}`,
		"unknown result": spec + `{"durable":{"result":"maybe"}}`,
		"unknown class":  spec + `{"failed":{"attempt":"c.1","ran":"often"}}`,
		"no input":       spec + `{}`,
		"not JSON":       spec + `{`,
		"no claim":       `{"spec":{}}`,
		"two traces":     spec + spec,
		"empty":          "",
	} {
		if _, err := Decode(strings.NewReader(text)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against traces of one file that are merged or lost, and against a truncated trace that is decoded as complete.
func TestDecoderReadsManyTraces(t *testing.T) {
	var file bytes.Buffer
	recorder := NewRecorder(&file)
	var want []Trace
	for _, claim := range []string{"a", "b", "c"} {
		recording := recorder.Begin(lacerequest.Spec{LedgerAttempt: laceunit.AttemptID(claim)})
		for range len(want) {
			recording.Add(lacerequest.Gone{})
		}
		want = append(want, recording.trace)
		if err := recording.End(); err != nil {
			t.Fatal(err)
		}
	}
	text := file.String()
	decoder := NewDecoder(&file)
	var got []Trace
	for {
		trace, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, trace)
	}
	if d := cmp.Diff(want, got); d != "" {
		t.Fatal(d)
	}
	decoder = NewDecoder(strings.NewReader(text[:len(text)-3]))
	for range 2 {
		if _, err := decoder.Next(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := decoder.Next(); !errors.Is(err, ErrMalformed) {
		t.Fatalf("truncated trace: %v", err)
	}
}

// Guards against a panic on arbitrary input.
func FuzzDecode(f *testing.F) {
	files, _ := filepath.Glob("testdata/*.trace")
	for _, name := range files {
		text, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Fuzz(func(_ *testing.T, text []byte) {
		trace, err := Decode(bytes.NewReader(text))
		if err == nil {
			Replay(trace)
		}
	})
}
