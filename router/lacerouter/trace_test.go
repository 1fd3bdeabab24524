package lacerouter

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"lacewingcove/lib/lacetrace"
	"lacewingcove/lib/laceunit"
)

// replayTraces replays the traces of a file and returns the number of traces of each request id.
func replayTraces(t *testing.T, path string) map[laceunit.RequestID]int {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(text), testKey) {
		t.Error("the trace contains an API key")
	}
	ids := map[laceunit.RequestID]int{}
	for d := lacetrace.NewDecoder(strings.NewReader(string(text))); ; {
		trace, err := d.Next()
		if errors.Is(err, io.EOF) {
			return ids
		}
		if err != nil {
			t.Fatal(err)
		}
		ids[trace.Spec.Request.ID]++
		if effects, ended := lacetrace.Replay(trace); !ended {
			t.Errorf("%s ended in the run and not in the replay:\n%s", trace.Spec.Request.ID, effects)
		}
	}
}

// Guards against requests that are missing from the traces or whose replay ends differently, and against traces that
// are still written to a rotated file after the reload.
func TestRecordedTracesReplay(t *testing.T) {
	t.Parallel()
	tc := newTestCluster(t)
	path := filepath.Join(t.TempDir(), "trace")
	r := tc.start("router-1", "-trace", path)
	const n = 8
	for i := range n {
		id := fmt.Sprint("order-", i)
		if status, text := r.placeOrder(id); status != http.StatusOK {
			t.Fatalf("%s: %d %s", id, status, text)
		}
	}
	rotatedPath := path + ".1"
	if err := os.Rename(path, rotatedPath); err != nil {
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	tc.waitFor("a new file", func() bool {
		_, err := os.Stat(path)
		return err == nil
	})
	// The new file exists before it is in use, but a request takes longer than the rest of the reload.
	wait := openStreams(r, n, 200)
	for id, c := range wait() {
		if !c.complete {
			t.Fatalf("%s: %s", id, c.errorText)
		}
	}
	r.signal(syscall.SIGTERM)
	<-r.exited
	rotated, current := replayTraces(t, rotatedPath), replayTraces(t, path)
	if len(rotated) == 0 || len(current) < n {
		t.Errorf("%d traces in the rotated file, %d in the new one", len(rotated), len(current))
	}
	for i := range n {
		rotated[laceunit.RequestID(fmt.Sprint("order-", i))]--
	}
	for _, id := range longRequestIDs(n, 200) {
		current[laceunit.RequestID(id)]--
	}
	for id, count := range current {
		rotated[id] += count // an order's trace may be written after the rotation, because a response does not wait for it
	}
	for id, count := range rotated {
		if count != 0 {
			t.Errorf("%s: %d extra traces", id, count)
		}
	}
	if f, err := os.Stat(path); err != nil || f.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", f.Mode(), err)
	}
}
