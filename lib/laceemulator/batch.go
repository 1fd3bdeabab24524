package laceemulator

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// maxFinishedJobs bounds the finished requests that an engine keeps for resumption and status lookups.
const maxFinishedJobs = 4096

// errRequestIDReused means that a request id was reused with another model, prompt or limit.
var errRequestIDReused = errors.New("emulator: request id used with another body")

// jobState is the state of a request.
type jobState string

const (
	jobWaiting   jobState = "waiting"
	jobRunning   jobState = "running"
	jobDone      jobState = "done"
	jobCancelled jobState = "cancelled"
)

// job is a request on an engine.
type job struct {
	requestID      string
	attemptID      string
	model          laceunit.ModelID
	maxTokens      laceunit.Tokens
	priority       laceunit.Priority
	seed           uint64
	prefixBlocks   []string
	promptTokens   laceunit.Tokens
	totalTokens    int
	producedTokens int
	state          jobState
	// prefillDone is when the prefill ends.
	prefillDone time.Time
}

// batchCounts are the counters of a batch.
type batchCounts struct {
	started   int64
	done      int64
	cancelled int64
	tokens    int64
}

// batch is the state machine of continuous batching: each step generates one token for every request that has a slot
// and has finished its prefill. It takes the time as input and is not safe for concurrent use.
type batch struct {
	slots int
	// prefillRate is the number of prompt tokens processed per second.
	prefillRate float64
	cache       prefixCache
	jobs        map[string]*job
	waiting     []*job
	running     []*job
	finished    []*job
	counts      batchCounts
}

// submit enqueues a request, or attaches to the existing request with the same id unless that one was cancelled, in
// which case the request runs again.
func (b *batch) submit(j *job) (*job, error) {
	if existing := b.jobs[j.requestID]; existing != nil && existing.state != jobCancelled {
		if existing.seed != j.seed || existing.maxTokens != j.maxTokens {
			return nil, errRequestIDReused
		}
		existing.attemptID = j.attemptID
		return existing, nil
	}
	if b.jobs == nil {
		b.jobs = map[string]*job{}
	}
	j.state = jobWaiting
	b.jobs[j.requestID] = j
	// Insert after all requests of the same or a higher priority.
	index := slices.IndexFunc(b.waiting, func(w *job) bool { return w.priority < j.priority })
	if index < 0 {
		index = len(b.waiting)
	}
	b.waiting = slices.Insert(b.waiting, index, j)
	return j, nil
}

// cancel cancels a request. A cancellation with another attempt id than the latest is ignored, since a newer attempt
// has taken over the request.
func (b *batch) cancel(requestID, attemptID string) *job {
	j := b.jobs[requestID]
	if j == nil || attemptID != "" && attemptID != j.attemptID || j.state == jobDone || j.state == jobCancelled {
		return j
	}
	isJob := func(o *job) bool { return o == j }
	b.waiting = slices.DeleteFunc(b.waiting, isJob)
	b.running = slices.DeleteFunc(b.running, isJob)
	b.counts.cancelled++
	b.finish(j, jobCancelled)
	return j
}

// step assigns free slots and generates a token for every request whose prefill is done.
func (b *batch) step(now time.Time) {
	for len(b.running) < b.slots && len(b.waiting) > 0 {
		b.start(now, b.waiting[0])
		b.waiting = slices.Delete(b.waiting, 0, 1)
	}
	b.running = slices.DeleteFunc(b.running, func(j *job) bool {
		if now.Before(j.prefillDone) {
			return false
		}
		if j.producedTokens < j.totalTokens {
			j.producedTokens++
			b.counts.tokens++
		}
		if j.producedTokens < j.totalTokens {
			return false
		}
		b.counts.done++
		b.finish(j, jobDone)
		return true
	})
}

// start assigns a slot to a request. Prompt blocks found in the prefix cache shorten its prefill.
func (b *batch) start(now time.Time, j *job) {
	cached := laceunit.Tokens(b.cache.touch(now, j.prefixBlocks) * blockTokens)
	j.state = jobRunning
	j.prefillDone = now.Add(
		time.Duration(float64(max(0, j.promptTokens-cached)) / b.prefillRate * float64(time.Second)))
	b.running = append(b.running, j)
	b.counts.started++
}

// finish retains a finished request and evicts the oldest one when there are too many.
func (b *batch) finish(j *job, state jobState) {
	j.state = state
	b.finished = append(b.finished, j)
	if len(b.finished) <= maxFinishedJobs {
		return
	}
	oldest := b.finished[0]
	b.finished = slices.Delete(b.finished, 0, 1)
	if b.jobs[oldest.requestID] == oldest {
		delete(b.jobs, oldest.requestID)
	}
}

// anotherJob returns a request other than the given one: the latest finished one, or else a running one, or nil.
func (b *batch) anotherJob(requestID string) *job {
	for _, jobs := range [][]*job{b.finished, b.running} {
		for i := len(jobs) - 1; i >= 0; i-- {
			if jobs[i].requestID != requestID {
				return jobs[i]
			}
		}
	}
	return nil
}

// idle reports whether no request is waiting or running.
func (b *batch) idle() bool {
	return len(b.waiting) == 0 && len(b.running) == 0
}
