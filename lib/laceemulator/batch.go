package laceemulator

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// keptJobs bounds the finished requests that an engine can still resume or report.
const keptJobs = 4096

// errReused means that a request id came with another model, prompt or limit.
var errReused = errors.New("emulator: request id used with another body")

// jobState is how far a request is.
type jobState string

const (
	jobWaiting   jobState = "waiting"
	jobRunning   jobState = "running"
	jobDone      jobState = "done"
	jobCancelled jobState = "cancelled"
)

// job is one request at an engine.
type job struct {
	request  string
	attempt  string
	model    laceunit.ModelID
	most     laceunit.Tokens
	priority laceunit.Priority
	seed     uint64
	blocks   []string
	prompt   laceunit.Tokens
	total    int
	produced int
	state    jobState
	// ready is when the prefill is done.
	ready time.Time
}

// batchCounts are the totals of a batch.
type batchCounts struct {
	started   int64
	done      int64
	cancelled int64
	tokens    int64
}

// batch is the state machine of continuous batching: each step yields one token for every request that has a slot.
// It takes time as input and is not safe for concurrent use.
type batch struct {
	slots int
	// prefill is how many prompt tokens are read in a second.
	prefill float64
	cache   prefixCache
	jobs    map[string]*job
	waiting []*job
	running []*job
	ended   []*job
	counts  batchCounts
}

// submit adds a request, or joins the one that has its id; a cancelled one is run again.
func (b *batch) submit(j *job) (*job, error) {
	if old := b.jobs[j.request]; old != nil && old.state != jobCancelled {
		if old.seed != j.seed || old.most != j.most {
			return nil, errReused
		}
		old.attempt = j.attempt
		return old, nil
	}
	if b.jobs == nil {
		b.jobs = map[string]*job{}
	}
	j.state = jobWaiting
	b.jobs[j.request] = j
	// Behind those of the same or a higher priority.
	at := slices.IndexFunc(b.waiting, func(w *job) bool { return w.priority < j.priority })
	if at < 0 {
		at = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, at, j)
	return j, nil
}

// cancel ends a request; a cancellation that names another attempt than the last one is ignored, since the request
// has been taken over.
func (b *batch) cancel(request, attempt string) *job {
	j := b.jobs[request]
	if j == nil || attempt != "" && attempt != j.attempt || j.state == jobDone || j.state == jobCancelled {
		return j
	}
	mine := func(o *job) bool { return o == j }
	b.waiting = slices.DeleteFunc(b.waiting, mine)
	b.running = slices.DeleteFunc(b.running, mine)
	b.counts.cancelled++
	b.end(j, jobCancelled)
	return j
}

// step fills free slots and yields a token for every request whose prefill is done.
func (b *batch) step(now time.Time) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.start(now, b.waiting[0])
		b.waiting = slices.Delete(b.waiting, 0, 1)
	}
	b.running = slices.DeleteFunc(b.running, func(j *job) bool {
		if now.Before(j.ready) {
			return false
		}
		if j.produced < j.total {
			j.produced++
			b.counts.tokens++
		}
		if j.produced < j.total {
			return false
		}
		b.counts.done++
		b.end(j, jobDone)
		return true
	})
}

// start gives a request a slot; what the prefix cache holds shortens its prefill.
func (b *batch) start(now time.Time, j *job) {
	cached := laceunit.Tokens(b.cache.touch(now, j.blocks) * blockTokens)
	j.state = jobRunning
	j.ready = now.Add(time.Duration(float64(max(0, j.prompt-cached)) / b.prefill * float64(time.Second)))
	b.running = append(b.running, j)
	b.counts.started++
}

// end keeps a finished request for a while.
func (b *batch) end(j *job, state jobState) {
	j.state = state
	b.ended = append(b.ended, j)
	if len(b.ended) <= keptJobs {
		return
	}
	oldest := b.ended[0]
	b.ended = slices.Delete(b.ended, 0, 1)
	if b.jobs[oldest.request] == oldest {
		delete(b.jobs, oldest.request)
	}
}

// other returns some request than the one named, the latest finished one if there is one.
func (b *batch) other(request string) *job {
	for _, set := range [][]*job{b.ended, b.running} {
		for i := len(set) - 1; i >= 0; i-- {
			if set[i].request != request {
				return set[i]
			}
		}
	}
	return nil
}

// idle reports whether no request waits or runs.
func (b *batch) idle() bool {
	return len(b.waiting) == 0 && len(b.running) == 0
}
