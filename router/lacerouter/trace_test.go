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

// replayed replays the traces of a file and returns the ids of their requests.
func replayed(t *testing.T, path string) map[laceunit.RequestID]int {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(string(text), testKey) {
		t.Error("the trace shows an API key")
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

// Guards against requests of a run that are missing from the traces or replay to another end, and against a file that
// is written on after it was moved away.
func TestTracesOfARunReplay(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	path := filepath.Join(t.TempDir(), "trace")
	r := w.start("router-1", "-trace", path)
	const n = 8
	for i := range n {
		id := fmt.Sprint("order-", i)
		if status, text := r.order(id); status != http.StatusOK {
			t.Fatalf("%s: %d %s", id, status, text)
		}
	}
	moved := path + ".1"
	if err := os.Rename(path, moved); err != nil {
		t.Fatal(err)
	}
	r.signal(syscall.SIGHUP)
	w.until("a new file", func() bool {
		_, err := os.Stat(path)
		return err == nil
	})
	// The name exists before the new file is in use, but a request takes longer than the rest of the reload.
	wait := streams(r, n, 200)
	for id, a := range wait() {
		if !a.whole {
			t.Fatalf("%s: %s", id, a.fault)
		}
	}
	r.signal(syscall.SIGTERM)
	<-r.ended
	former, later := replayed(t, moved), replayed(t, path)
	if len(former) == 0 || len(later) < n {
		t.Errorf("%d traces in the moved file, %d in the new one", len(former), len(later))
	}
	for i := range n {
		former[laceunit.RequestID(fmt.Sprint("order-", i))]--
	}
	for _, id := range longIDs(n, 200) {
		later[laceunit.RequestID(id)]--
	}
	for id, count := range later {
		former[id] += count // an order's trace may be written after the move, because its end is not waited for
	}
	for id, count := range former {
		if count != 0 {
			t.Errorf("%s: %d traces too many", id, count)
		}
	}
	if f, err := os.Stat(path); err != nil || f.Mode().Perm() != 0o600 {
		t.Errorf("mode %v, %v", f.Mode(), err)
	}
}
