package lacedirectory

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
)

// noted is a board on a clock of its own, with the lines that it writes.
type noted struct {
	*Directory
	t     *testing.T
	clock time.Time
	log   *lacelog.Logger
	out   bytes.Buffer
}

func newNoted(t *testing.T, self Member) *noted {
	n := &noted{
		t:     t,
		clock: time.Unix(1_000, 0),
	}
	n.log = lacelog.New(&n.out, "router-1")
	n.Directory = NewDirectory(self, n.log)
	n.now = func() time.Time { return n.clock }
	return n
}

// pass moves the clock on, as the node's clock does between two rounds.
func (n *noted) pass(d time.Duration) {
	n.clock = n.clock.Add(d)
	n.Tick(n.clock)
}

// lines ends the log and returns what was written.
func (n *noted) lines() []lacelog.Line {
	n.t.Helper()
	if err := n.log.Close(); err != nil {
		n.t.Fatal(err)
	}
	lines, skipped, err := lacelog.Read(&n.out)
	if err != nil || skipped > 0 {
		n.t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	return lines
}

// Guards against a volume of lines that grows with the square of the fleet when all of it starts or stops: 86 instances
// wrote 7,224 lines in the first second.
func TestLinesOfManyMembersAreBounded(t *testing.T) {
	const (
		count     = 340
		mostLines = 20
	)
	for state, settle := range map[string]time.Duration{stateGone: 0, stateLapsed: 500 * time.Millisecond} {
		members := fleet("a", count, 4, 0.192, 0)
		n := newNoted(t, fleet("self", 1, 1, 0.192, 0)[0])
		for _, m := range members {
			n.Put(m)
			n.Addresses(m.Place)
			n.pass(time.Second / count)
		}
		n.pass(2 * notePeriod)
		for _, m := range members {
			n.Remove(n.clock, m.Holder.Instance, n.clock.Add(settle))
			n.Addresses(m.Place)
			n.pass(time.Second / count)
		}
		n.pass(2 * notePeriod)
		n.Addresses(n.self.Place)
		n.pass(2 * notePeriod)
		lines := n.lines()
		if len(lines) > mostLines {
			t.Errorf("%s: %d lines when %d members came and went", state, len(lines), count)
		}
		told := map[string]int{}
		for _, l := range lines {
			if l.Get("state") != stateSeveral {
				continue
			}
			for _, f := range []string{stateListed, state} {
				told[f] += number(t, l, f)
			}
		}
		if told[stateListed] != count || told[state] != count {
			t.Errorf("the summaries tell of %v, %d came and went", told, count)
		}
		if last := lastOf(lines, lacelog.Member); number(t, last, "members") != 0 {
			t.Errorf("the last summary is %v", last)
		}
		if last := lastOf(lines, lacelog.Active); number(t, last, "active") != 1 {
			t.Errorf("the last number of instances that take callers is %v", last)
		}
	}
}

// Guards against single changes, or a few together, that a summary hides.
func TestSingleChangesOfMembersHaveTheirLine(t *testing.T) {
	members := fleet("a", singleLines, 1, 0.192, 0)
	n := newNoted(t, fleet("self", 1, 1, 0.192, 0)[0])
	var want []string
	for _, m := range members {
		n.Put(m)
		want = append(want, m.Holder.String()+" "+stateListed)
	}
	for _, m := range members {
		n.pass(2 * notePeriod)
		n.Remove(n.clock, m.Holder.Instance, time.Time{})
		want = append(want, m.Holder.String()+" "+stateGone)
	}
	n.pass(2 * notePeriod)
	for i, l := range n.lines() {
		if got := l.Get("member") + " " + l.Get("state"); i >= len(want) || got != want[i] {
			t.Errorf("line %d is %q, want %q", i, got, want)
		}
	}
}

// number returns a field of a line as a number.
func number(t *testing.T, l lacelog.Line, field string) int {
	t.Helper()
	n, err := strconv.Atoi(l.Get(lacelog.Field(field)))
	if err != nil {
		t.Fatalf("%s of %v: %v", field, l, err)
	}
	return n
}

// lastOf returns the last line of an event.
func lastOf(lines []lacelog.Line, event lacelog.Event) lacelog.Line {
	var last lacelog.Line
	for _, l := range lines {
		if l.Event == event {
			last = l
		}
	}
	return last
}
