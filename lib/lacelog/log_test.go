package lacelog

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// stuck is an output that takes nothing until it is released.
type stuck struct {
	release chan struct{}
	out     bytes.Buffer
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.out.Write(p)
}

// Guards against requests that wait for a slow log.
func TestWritingNeverBlocks(t *testing.T) {
	out := &stuck{release: make(chan struct{})}
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

// Guards against a volume that grows with the load, and against lines that are left out without a trace.
func TestVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	l := New(&out, "router-1")
	for range 5000 {
		l.Write(Placed, P(Request, "a"))
	}
	l.Write(RequestRejected, P(Request, "b"))
	l.mu.Lock()
	skipped := l.limits[Placed].skipped
	l.mu.Unlock()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(out.String(), "\n"); n > ordinaryRate*(burstSeconds+2) {
		t.Errorf("%d lines of 5000 within a moment", n)
	}
	if skipped == 0 {
		t.Error("lines that were left out are not counted")
	}
	if !strings.Contains(out.String(), `"refused"`) {
		t.Error("ordinary lines crowd out a refusal")
	}
}

// Guards against a story that misses a line, or what a decision rested on, or depends on the order of the files.
func TestStory(t *testing.T) {
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
		story, err := Timeline(lines, id)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(&out, id+"\n"); err != nil {
			t.Fatal(err)
		}
		if err := PrintTimeline(&out, story); err != nil {
			t.Fatal(err)
		}
	}
	goldie.New(t).Assert(t, "story", out.Bytes())
	if _, err := Timeline(lines, "none"); err == nil {
		t.Error("a request that no line names has a story")
	}
}
