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

// ErrStory means that no line speaks of the request.
var ErrRequestNotFound = errors.New("log: no line names the request")

// lineBytes bounds one line of a log.
const lineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time     time.Time
	Event    Event
	Instance string
	// Fields are the rest of the line in its order.
	Fields []Pair
}

// Get returns a field as text; a missing one is empty.
func (l Line) Get(field Field) string {
	for _, p := range l.Fields {
		if p.Field == field {
			return fmt.Sprint(p.Value)
		}
	}
	return ""
}

// Read returns the lines of a log. What stands before a line, as other tools put it there, is skipped, and so are lines
// of other programs; skipped counts those.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), lineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			skipped++
			continue
		}
		l, ok := parse(s.Bytes()[i:])
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, l)
	}
	return lines, skipped, errors.Wrap(s.Err(), "log: read")
}

func parse(text []byte) (Line, bool) {
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
		l.take(fmt.Sprint(key), value)
	}
	return l, l.Event != ""
}

func (l *Line) take(key string, value any) {
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

// Story selects the lines of a request in their order, and before each decision the last line about what it rested on:
// the account's draw, the server's state, a lost or regained dependency of the instance.
func Timeline(lines []Line, request string) ([]Line, error) {
	ordered := slices.Clone(lines)
	slices.SortStableFunc(ordered, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var story []Line
	told := map[int]bool{}
	for i, l := range ordered {
		if l.Get(Request) != request {
			continue
		}
		for _, k := range causes(ordered[:i], l) {
			if !told[k] {
				told[k] = true
				story = append(story, ordered[k])
			}
		}
		story = append(story, l)
	}
	if len(story) == 0 {
		return nil, errors.Wrap(ErrRequestNotFound, request)
	}
	slices.SortStableFunc(story, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return story, nil
}

// causes returns the indexes of the lines that a decision rested on.
func causes(before []Line, l Line) []int {
	var found []int
	last := func(match func(Line) bool) {
		for k := len(before) - 1; k >= 0; k-- {
			if before[k].Instance == l.Instance && match(before[k]) {
				found = append(found, k)
				return
			}
		}
	}
	switch l.Event {
	case RequestRejected:
		if account := l.Get(Account); account != "" && l.Get(Tokens) != "" {
			last(func(x Line) bool { return x.Event == BudgetUpdate && x.Get(Account) == account })
		} else {
			last(func(x Line) bool { return x.Event == RateLimit })
		}
		last(func(x Line) bool { return x.Event == SyncLost || x.Event == SyncRestored })
	case Placed:
		server := l.Get(ServerID)
		last(func(x Line) bool { return x.Event == ServerState && x.Get(ServerID) == server })
		last(func(x Line) bool { return x.Event == RateLimit && x.Get(ServerID) == server })
	}
	return found
}

// Tell writes lines for people: the time since the first, the instance, the event and its fields.
func PrintTimeline(w io.Writer, story []Line) error {
	for _, l := range story {
		var b strings.Builder
		fmt.Fprintf(&b, "%9.3f s  %s  %-8s", l.Time.Sub(story[0].Time).Seconds(), l.Instance, l.Event)
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
