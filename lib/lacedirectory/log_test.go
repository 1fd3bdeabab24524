package lacedirectory

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
)

// loggedDirectory is a directory with a fake clock, whose log lines the test reads.
type loggedDirectory struct {
	*Directory
	t     *testing.T
	clock time.Time
	log   *lacelog.Logger
	out   bytes.Buffer
}

func newLoggedDirectory(t *testing.T, self Member) *loggedDirectory {
	d := &loggedDirectory{
		t:     t,
		clock: time.Unix(1_000, 0),
	}
	d.log = lacelog.New(&d.out, "router-1")
	d.Directory = NewDirectory(self, d.log)
	d.now = func() time.Time { return d.clock }
	return d
}

// advance moves the clock, as the node's clock does between two ticks.
func (d *loggedDirectory) advance(step time.Duration) {
	d.clock = d.clock.Add(step)
	d.Tick(d.clock)
}

// lines closes the log and returns what was written.
func (d *loggedDirectory) lines() []lacelog.Line {
	d.t.Helper()
	if err := d.log.Close(); err != nil {
		d.t.Fatal(err)
	}
	lines, skipped, err := lacelog.Read(&d.out)
	if err != nil || skipped > 0 {
		d.t.Fatalf("%d lines skipped, error %v", skipped, err)
	}
	return lines
}

// Guards against a number of log lines that grows with the square of the fleet when all of it starts or stops: 86
// instances wrote 7,224 lines in the first second.
func TestLogVolumeOfManyMembersIsBounded(t *testing.T) {
	const (
		count    = 340
		maxLines = 20
	)
	for state, removalDelay := range map[string]time.Duration{stateGone: 0, stateLapsed: 500 * time.Millisecond} {
		members := fleet("a", count, 4, 0.192, 0)
		d := newLoggedDirectory(t, fleet("self", 1, 1, 0.192, 0)[0])
		for _, m := range members {
			d.Put(m)
			d.Addresses(m.Place)
			d.advance(time.Second / count)
		}
		d.advance(2 * summaryInterval)
		for _, m := range members {
			d.Remove(d.clock, m.Holder.Instance, d.clock.Add(removalDelay))
			d.Addresses(m.Place)
			d.advance(time.Second / count)
		}
		d.advance(2 * summaryInterval)
		d.Addresses(d.self.Place)
		d.advance(2 * summaryInterval)
		lines := d.lines()
		if len(lines) > maxLines {
			t.Errorf("%s: %d lines for %d members that were added and removed", state, len(lines), count)
		}
		summarized := map[string]int{}
		for _, l := range lines {
			if l.Get("state") != stateSeveral {
				continue
			}
			for _, f := range []string{stateListed, state} {
				summarized[f] += number(t, l, f)
			}
		}
		if summarized[stateListed] != count || summarized[state] != count {
			t.Errorf("the summaries count %v, but %d members were added and removed", summarized, count)
		}
		if last := lastOf(lines, lacelog.MemberState); number(t, last, "members") != 0 {
			t.Errorf("the last summary is %v", last)
		}
		if last := lastOf(lines, lacelog.ActiveCount); number(t, last, "active") != 1 {
			t.Errorf("the last line about active instances is %v", last)
		}
	}
}

// Guards against a summary that hides a single change, or a few of them.
func TestSingleMemberChangesAreLogged(t *testing.T) {
	members := fleet("a", maxSingleLines, 1, 0.192, 0)
	d := newLoggedDirectory(t, fleet("self", 1, 1, 0.192, 0)[0])
	var want []string
	for _, m := range members {
		d.Put(m)
		want = append(want, m.Holder.String()+" "+stateListed)
	}
	for _, m := range members {
		d.advance(2 * summaryInterval)
		d.Remove(d.clock, m.Holder.Instance, time.Time{})
		want = append(want, m.Holder.String()+" "+stateGone)
	}
	d.advance(2 * summaryInterval)
	for i, l := range d.lines() {
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
