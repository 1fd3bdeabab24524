package lacesoak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Guards against instances that violate a guarantee to callers or servers during a series of faults of processes, the
// store and servers, and against truncated responses that are framed as complete. In seeds 116 and 96, servers truncate
// streams and fail to resume them; in seed 2, servers pause and announce a drain only by the header; in seed 21, servers have
// two software versions; in seed 1004, the store is restored from a backup while configurations change.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "platform")
	if out, err := exec.Command("go", "build", "-o", program, "lacewingcove/platform").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, run := range []struct {
		seed     uint64
		duration time.Duration
		restores int
	}{
		{seed: 116, duration: 14 * time.Second},
		{seed: 96, duration: 14 * time.Second},
		{seed: 2, duration: 14 * time.Second},
		{seed: 21, duration: 14 * time.Second},
		{seed: 1004, duration: 24 * time.Second, restores: -1},
	} {
		r, err := Run(t.Context(), program, t.TempDir(), run.seed, Options{
			Duration:  run.duration,
			Instances: 4,
			Restores:  run.restores,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", run.seed, err)
		}
		var report strings.Builder
		if err := r.Print(&report); err != nil || len(r.Violations) > 0 {
			t.Errorf("%v\n%s", err, &report)
		}
	}
}
