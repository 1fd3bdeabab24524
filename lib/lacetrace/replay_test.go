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

// Guards against a change of a request's stated outcome in the situations that the traces record, and against a trace
// that doesn't survive being written and read.
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
			var again bytes.Buffer
			if err = Encode(&again, trace); err != nil {
				t.Fatal(err)
			}
			second, err := Decode(&again)
			if err != nil {
				t.Fatal(err)
			}
			if d := cmp.Diff(trace, second); d != "" {
				t.Fatal(d)
			}
			replayed, _ := Replay(trace)
			goldie.New(t).Assert(t, name, []byte(replayed))
		})
	}
}

// Guards against a malformed trace that is replayed as if it were another one.
func TestDecodeRefuses(t *testing.T) {
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

// Guards against traces of one file that run into each other or get lost, and against a cut one that counts as whole.
func TestDecoderReadsManyTraces(t *testing.T) {
	var file bytes.Buffer
	recorder := NewRecorder(&file)
	var want []Trace
	for _, claim := range []string{"a", "b", "c"} {
		x := recorder.Begin(lacerequest.Spec{LedgerAttempt: laceunit.AttemptID(claim)})
		for range len(want) {
			x.Add(lacerequest.Gone{})
		}
		want = append(want, x.trace)
		if err := x.End(); err != nil {
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
		t.Fatalf("cut trace: %v", err)
	}
}

// Guards against a panic on any text that is offered as a trace.
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
