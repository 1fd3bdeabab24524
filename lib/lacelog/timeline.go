package lacelog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ErrRequestNotFound means that no line has the request's ID.
var ErrRequestNotFound = errors.New("log: no line has the ID of the request")

// maxLineBytes is the maximum length of a line.
const maxLineBytes = 1 << 20

// Line is a parsed line of a log.
type Line struct {
	Time     time.Time
	Event    Event
	Instance string
	// Fields holds the other fields in the order of the line.
	Fields []Pair
}

// Get returns the value of a field as text, empty if the field is missing.
func (l Line) Get(field Field) string {
	for _, p := range l.Fields {
		if p.Field == field {
			return fmt.Sprint(p.Value)
		}
	}
	return ""
}

// Read parses the lines of a log. It ignores a prefix that another tool has put before a line; lines of other programs
// are skipped and counted.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			skipped++
			continue
		}
		l, ok := parseLine(s.Bytes()[i:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(s.Err(), "log: read")
}

func parseLine(text []byte) (Line, bool) {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return Line{}, false
	}
	var l Line
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return Line{}, false
		}
		var value any
		if d.Decode(&value) != nil {
			return Line{}, false
		}
		l.set(fmt.Sprint(key), value)
	}
	return l, l.Event != ""
}

func (l *Line) set(key string, value any) {
	text := fmt.Sprint(value)
	switch key {
	case "time":
		if t, err := time.Parse(time.RFC3339Nano, text); err == nil {
			l.Time = t
		}
	case "msg":
		l.Event = Event(text)
	case "instance":
		l.Instance = text
	case "level":
	default:
		l.Fields = append(l.Fields, P(Field(key), value))
	}
}

// Timeline returns the lines of a request ordered by time. For each decision it includes the latest earlier lines of
// the same instance about the inputs of the decision: the budget update of the account, the state and the rate limit of
// the server, and the loss or recovery of updates from the store.
func Timeline(lines []Line, request string) ([]Line, error) {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var timeline []Line
	included := map[int]bool{}
	for i, l := range ordered {
		if l.Get(Request) != request {
			continue
		}
		for _, k := range decisionInputs(ordered[:i], l) {
			if !included[k] {
				included[k] = true
				timeline = append(timeline, ordered[k])
			}
		}
		timeline = append(timeline, l)
	}
	if len(timeline) == 0 {
		return nil, errors.Wrap(ErrRequestNotFound, request)
	}
	slices.SortStableFunc(timeline, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return timeline, nil
}

// decisionInputs returns the indexes of the lines about the inputs of a decision.
func decisionInputs(preceding []Line, l Line) []int {
	var found []int
	addLatest := func(match func(Line) bool) {
		for k := len(preceding) - 1; k >= 0; k-- {
			if preceding[k].Instance == l.Instance && match(preceding[k]) {
				found = append(found, k)
				return
			}
		}
	}
	switch l.Event {
	case RequestRejected:
		if account := l.Get(Account); account != "" && l.Get(Tokens) != "" {
			addLatest(func(x Line) bool { return x.Event == BudgetUpdate && x.Get(Account) == account })
		} else {
			addLatest(func(x Line) bool { return x.Event == RateLimit })
		}
		addLatest(func(x Line) bool { return x.Event == SyncLost || x.Event == SyncRestored })
	case Placed:
		server := l.Get(ServerID)
		addLatest(func(x Line) bool { return x.Event == ServerState && x.Get(ServerID) == server })
		addLatest(func(x Line) bool { return x.Event == RateLimit && x.Get(ServerID) == server })
	}
	return found
}

// PrintTimeline writes lines in a readable format: the time since the first line, the instance, the event and its
// fields.
func PrintTimeline(w io.Writer, lines []Line) error {
	for _, l := range lines {
		var b strings.Builder
		fmt.Fprintf(&b, "%9.3f s  %s  %-8s", l.Time.Sub(lines[0].Time).Seconds(), l.Instance, l.Event)
		for _, p := range l.Fields {
			if text := fmt.Sprint(p.Value); text != "" && p.Field != Request {
				fmt.Fprintf(&b, " %s=%s", p.Field, text)
			}
		}
		if _, err := fmt.Fprintln(w, b.String()); err != nil {
			return errors.Wrap(err, "log: write")
		}
	}
	return nil
}
