package lacelog

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/sebdah/goldie/v2"
)

// blockedWriter is an output whose writes block until release is closed.
type blockedWriter struct {
	release chan struct{}
	out     bytes.Buffer
}

// Write implements io.Writer.
func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.out.Write(p)
}

// Guards against requests that block on a slow log output.
func TestWriteNeverBlocks(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	l := New(out, "router-1")
	for range 3 * bufferLines {
		l.Logr().Info("line")
	}
	if l.Dropped() == 0 {
		t.Error("no line was dropped")
	}
	close(out.release)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
}

// Guards against a log volume that grows with the load, and against suppressed lines that are not counted.
func TestRateLimitOfEachEvent(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "router-1")
	const lines = 5000
	for range lines {
		l.Write(Placed, P(Request, "a"))
	}
	l.Write(RequestRejected, P(Request, "b"))
	l.mu.Lock()
	suppressed := l.limits[Placed].suppressed
	l.mu.Unlock()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "\n"); n > defaultRate*(burstSeconds+2) {
		t.Errorf("%d of 5000 lines written at once", n)
	}
	// Each line has the number of those that were suppressed before it; the last ones may be left.
	written := 0
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		var fields map[string]any
		if err := json.Unmarshal([]byte(line), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["msg"] != string(Placed) {
			continue
		}
		written++
		if n, ok := fields[string(Suppressed)].(float64); ok {
			suppressed += int(n)
		}
	}
	if written+suppressed != lines {
		t.Errorf("%d lines written and %d counted as suppressed, of %d", written, suppressed, lines)
	}
	if !strings.Contains(out.String(), `"refused"`) {
		t.Error("lines of another event crowd out a rejected request")
	}
}

// Guards against a timeline that misses a line or the inputs of a decision, or depends on the order of the files.
func TestTimeline(t *testing.T) {
	text, err := os.ReadFile("testdata/day.log")
	if err != nil {
		t.Fatal(err)
	}
	lines, skipped, err := Read(bytes.NewReader(text))
	if err != nil || skipped != 1 {
		t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	var out bytes.Buffer
	for _, id := range []string{"refused-1", "resumed-1"} {
		timeline, err := Timeline(lines, id)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(&out, id+"\n"); err != nil {
			t.Fatal(err)
		}
		if err := PrintTimeline(&out, timeline); err != nil {
			t.Fatal(err)
		}
	}
	goldie.New(t).Assert(t, "story", out.Bytes())
	if _, err := Timeline(lines, "none"); err == nil {
		t.Error("got a timeline of a request that no line has")
	}
}

// Guards against lines that are as long as a text that a caller, a server or an entry of the store contains.
func TestLongTextIsTruncated(t *testing.T) {
	type id string
	var out bytes.Buffer
	l := New(&out, "router-1")
	long := strings.Repeat("x", 1<<20)
	l.Write(InputRejected, P(Reason, long), P(Request, id(long)), P("short", id("y")))
	l.Error(errors.New(long), long)
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if n := out.Len(); n > 8*maxTextBytes {
		t.Errorf("two lines have %d bytes", n)
	}
	if !strings.Contains(out.String(), "xxx"+truncationMark) || !strings.Contains(out.String(), `"short":"y"`) {
		t.Errorf("values are missing: %s", out.String())
	}
}
