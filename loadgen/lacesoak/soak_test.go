package lacesoak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against instances that break a promise to callers or servers when processes, the store and servers fail in series,
// and against answers that are framed as complete and aren't: 116 and 96 break off streams and fail
// their resumption; in 2 servers pause and leave by the header alone.
func TestPromisesHoldUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "platform")
	if out, err := exec.Command("go", "build", "-o", program, "lacewingcove/platform").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range []uint64{116, 96, 2} {
		r, err := Run(t.Context(), program, t.TempDir(), seed, Options{
			Duration:  14 * time.Second,
			Instances: 4,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		var text strings.Builder
		if err := r.Print(&text); err != nil || len(r.Violations) > 0 {
			t.Errorf("%v\n%s", err, &text)
		}
	}
}
