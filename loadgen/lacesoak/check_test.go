package lacesoak

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lacewingcove/lib/laceunit"
)

// at returns a moment of the hand-made runs.
func at(seconds float64) time.Time {
	return time.Unix(1_000, 0).Add(time.Duration(seconds * float64(time.Second)))
}

// sound returns a run that breaks no promise: three answers of instance 0 by one server process, a planned stop, a freeze.
func sound() *Record {
	r := &Record{
		Paid:      map[laceunit.AccountID]laceunit.Tokens{"a": 30},
		Quiet:     at(20),
		Instances: 1,
		Last:      map[int]Sample{0: {}},
		Deeds: []Deed{
			{Event: Event{Kind: Stop}, Began: at(10), Ended: at(12), Ready: at(12.5)},
			{Event: Event{Kind: Freeze}, Began: at(15), Ended: at(16)},
		},
	}
	for i, sent := range []float64{1, 5, 20.5} {
		id := laceunit.AttemptID(fmt.Sprintf("t-%d", i))
		r.Answers = append(r.Answers, Answer{
			Attempt: id, Named: id, Account: "a", Once: true, Sent: at(sent), Ended: at(sent + 0.5), Limit: 2 * time.Second,
			Status: 200, Whole: true, Body: []byte("right"), Want: []byte("right"), Given: 10, Reused: true,
		})
		r.Runs = append(r.Runs, Run{Attempt: id, Account: "a", Born: 1, Began: at(sent + 0.1), Ended: at(sent + 0.4), Executed: true})
	}
	return r
}

// cut makes the second attempt one that a planned stop cut.
func cut(r *Record) {
	a := &r.Answers[1]
	a.Sent, a.Ended, a.Whole, a.Body, a.Given = at(10.2), at(10.8), false, []byte("rig"), 0
}

// Guards against checks that find nothing in a run that broke a promise, and against findings in sound runs.
func TestEachBrokenPromiseIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		change func(r *Record)
		want   []string
	}{
		"sound":             {change: func(*Record) {}},
		"overspent":         {change: func(r *Record) { r.Answers[0].Given = 11 }, want: []string{PromiseBudget}},
		"ran twice":         {change: func(r *Record) { r.Runs = append(r.Runs, r.Runs[0]) }, want: []string{PromiseOnce}},
		"may run twice":     {change: func(r *Record) { r.Answers[0].Once = false; r.Runs = append(r.Runs, r.Runs[0]) }},
		"other account":     {change: func(r *Record) { r.Runs[0].Account = "b" }, want: []string{PromiseAccount}},
		"incomplete":        {change: func(r *Record) { r.Answers[0].Body = []byte("rig") }, want: []string{PromiseWhole}},
		"broken off":        {change: func(r *Record) { r.Answers[0].Whole = false; r.Answers[0].Body = []byte("rig") }},
		"foreign bytes":     {change: func(r *Record) { r.Answers[0].Whole = false; r.Answers[0].Body = []byte("wro") }, want: []string{PromiseWhole}},
		"another's id":      {change: func(r *Record) { r.Answers[0].Named = "t-1" }, want: []string{PromiseWhole}},
		"refused and ran":   {change: func(r *Record) { r.Answers[0].Status = 503 }, want: []string{PromiseNotRun}},
		"refused":           {change: func(r *Record) { r.Answers[0].Status = 503; r.Runs[0].Executed = false }},
		"failed and ran":    {change: func(r *Record) { r.Answers[0].Status = 502 }},
		"cut by stop":       {change: cut, want: []string{PromiseStop}},
		"cut, given up":     {change: func(r *Record) { cut(r); r.Answers[1].Left = true }},
		"cut by server":     {change: func(r *Record) { cut(r); r.Runs[1].Fault = "crash" }},
		"cut by limit":      {change: func(r *Record) { cut(r); r.Answers[1].Limit = 600 * time.Millisecond }},
		"crossed close":     {change: func(r *Record) { crossed(r); r.Runs = slices.Delete(r.Runs, 1, 2) }},
		"crossed and ran":   {change: crossed, want: []string{PromiseStop}},
		"waited, then cut":  {change: func(r *Record) { crossed(r); r.Answers[1].Sent = at(11); r.Runs = slices.Delete(r.Runs, 1, 2) }, want: []string{PromiseStop}},
		"sent when leaving": {change: func(r *Record) { r.Runs[0].Leaving = true }, want: []string{PromiseLeaving}},
		"leaving, in time":  {change: func(r *Record) { r.Runs[0].Leaving = true; r.Answers[1].Sent = at(4.4); r.Runs[2].Born = 2 }},
		"new process":       {change: func(r *Record) { r.Runs[1].Leaving = true }},
		"paused":            {change: func(r *Record) { paused(r, 1) }, want: []string{PromisePausing}},
		"paused, trials":    {change: func(r *Record) { paused(r, 1); r.Runs[5].Born = 2 }},
		"paused, frozen":    {change: func(r *Record) { paused(r, 14.5) }},
		"memory":            {change: func(r *Record) { r.Last[0] = Sample{Memory: memorySlack + 1} }, want: []string{PromiseRest}},
		"files":             {change: func(r *Record) { r.Last[0] = Sample{Files: filesSlack + 1} }, want: []string{PromiseRest}},
		"goroutines":        {change: func(r *Record) { r.Last[0] = Sample{Goroutines: goroutinesSlack + 1} }, want: []string{PromiseRest}},
		"gone":              {change: func(r *Record) { delete(r.Last, 0) }, want: []string{PromiseRest}},
		"serves late":       {change: func(r *Record) { r.Quiet = at(17.9) }, want: []string{PromiseServes}},
	} {
		t.Run(name, func(t *testing.T) {
			r := sound()
			c.change(r)
			var got []string
			for _, f := range Check(r) {
				got = append(got, f.Promise)
			}
			if !slices.Equal(got, c.want) {
				t.Errorf("found %q, want %q", got, c.want)
			}
		})
	}
}

// crossed makes the second attempt one that met the close of its connection.
func crossed(r *Record) {
	a := &r.Answers[1]
	a.Sent, a.Ended, a.Status, a.Whole, a.Body, a.Given = at(11.5), at(11.55), 0, false, nil, 0
}

// paused adds a pausing answer and three requests during the pause.
func paused(r *Record, from float64) {
	for i, began := range []float64{from, from + 0.6, from + 0.7, from + 0.8} {
		id := laceunit.AttemptID(fmt.Sprintf("p-%d", i))
		r.Answers = append(r.Answers, Answer{Attempt: id, Named: id, Account: "a", Sent: at(began), Ended: at(began), Status: 503})
		r.Runs = append(r.Runs, Run{Attempt: id, Account: "a", Born: 1, Began: at(began), Ended: at(began)})
	}
	r.Runs[3].Pause = 2 * time.Second
}
