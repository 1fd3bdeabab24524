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
// two software versions.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	program := filepath.Join(t.TempDir(), "platform")
	if out, err := exec.Command("go", "build", "-o", program, "lacewingcove/platform").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	for _, seed := range []uint64{116, 96, 2, 21} {
		r, err := Run(t.Context(), program, t.TempDir(), seed, Options{
			Duration:  14 * time.Second,
			Instances: 4,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		var report strings.Builder
		if err := r.Print(&report); err != nil || len(r.Violations) > 0 {
			t.Errorf("%v\n%s", err, &report)
		}
	}
}
