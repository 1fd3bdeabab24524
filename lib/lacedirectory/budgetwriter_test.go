package lacedirectory

import (
	"fmt"
	"testing"

	"lacewingcove/lib/laceunit"
)

// Guards against instances that disagree about the writer of a group, against one writer of all groups, and against a
// writer that is on standby.
func TestBudgetWriterIsActiveWatcher(t *testing.T) {
	var members []Member
	for i := range 20 {
		members = append(members, Member{Holder: laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("router-", i))}})
	}
	active := map[laceunit.InstanceID]bool{}
	for _, m := range members[:8] {
		active[m.Holder.Instance] = true
	}
	writers := map[laceunit.InstanceID]bool{}
	for g := range 40 {
		group := fmt.Sprint(g, "/40")
		writer, ok := selectBudgetWriter(group, members, active)
		if !ok || !active[writer] {
			t.Fatalf("group %s is written by %q", group, writer)
		}
		writers[writer] = true
		rest := make([]Member, 0, len(members))
		for _, m := range members {
			if m.Holder.Instance != "router-3" {
				rest = append(rest, m)
			}
		}
		if again, _ := selectBudgetWriter(group, rest, active); writer != "router-3" && again != writer {
			t.Errorf("group %s moved from %s to %s although another instance ended", group, writer, again)
		}
	}
	if len(writers) < 5 {
		t.Errorf("%d of 8 active instances write 40 groups", len(writers))
	}
}
