package lacebalancer

import (
	"math"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// chunkTokens is the number of prompt tokens that an engine processes between two decoding steps.
	chunkTokens = 1024
	// maxBusyShare bounds the estimated share of time that an engine spends on the prompts of other instances, so that
	// the estimated wait stays finite.
	maxBusyShare = 0.9
	// maxTokens is far above the size of any prompt or answer.
	maxTokens = 1 << 30
	// pauseOnset is the share of the pause objective from which a pause counts as partly late, fully at
	// 2-pauseOnset: the estimate is not exact.
	pauseOnset = 0.7
	// repeatedTokens is the number of shared tokens whose repeated prefill counts as one late answer. A token that is
	// prefilled again keeps an engine from others' prompts, and its copy takes memory from the parts of other chains.
	repeatedTokens = 1000
	// overdueWeight is the cost, in late answers, of each further multiple of the objective by which an answer is late: it
	// is of less use to its caller the later it is.
	overdueWeight = 0.25
	// expectedWeight is the cost, in late answers, of a second until the first event. It decides between servers where no
	// answer is expected to be late.
	expectedWeight = 0.05
	// fillOnset is the share of the slots in use from which a server may be full when a request arrives, since other
	// instances send it requests at the same time.
	fillOnset = 0.5
)

// Part is a part of a prompt that other requests share. Hash covers the part and all parts before it.
type Part struct {
	Hash   uint64
	Tokens laceunit.Tokens
}

// Objectives are response-time objectives; zero means none.
type Objectives struct {
	// FirstEvent is the time to the first event, Pause the longest time between two events.
	FirstEvent time.Duration
	Pause      time.Duration
}

// Prompt describes the work that a request causes at an engine.
type Prompt struct {
	// Parts are the shared parts in order; OwnTokens come after them.
	Parts     []Part
	OwnTokens laceunit.Tokens
	// MaxOutput is the maximum number of output tokens, LengthHint the caller's estimate; zero means none.
	MaxOutput  laceunit.Tokens
	LengthHint laceunit.Tokens
	// TokensPerEvent is the number of tokens in one event.
	TokensPerEvent int
	// Objectives are those of the request, Strictest the shortest ones of all requests to the pool.
	Objectives Objectives
	Strictest  Objectives
	// ServerMemory is the number of tokens that each engine of the pool can hold; zero means unknown.
	ServerMemory laceunit.Tokens
}

// sharedTokens returns the number of tokens in the shared parts.
func (p *Prompt) sharedTokens() float64 {
	n := 0.0
	for _, part := range p.Parts {
		n += float64(part.Tokens)
	}
	return min(max(n, 0), maxTokens)
}

// inputTokens returns the number of tokens of the whole prompt.
func (p *Prompt) inputTokens() float64 {
	return min(p.sharedTokens()+max(float64(p.OwnTokens), 0), maxTokens)
}

// output returns the expected number of output tokens. Half of the hints are too low.
func (p *Prompt) output() float64 {
	n := p.MaxOutput
	if p.LengthHint > 0 && (n == 0 || p.LengthHint < n) {
		n = p.LengthHint
	}
	return min(float64(n), maxTokens)
}

// demand is what the requests of a pool need on average. The other instances are assumed to get the same kinds.
type demand struct {
	// work is the number of prompt tokens to process, squaredWork its mean square, memory the number of tokens held until
	// the end.
	work, squaredWork, memory average
	// duration is the time from assignment to the end, objective that to the first event, in milliseconds.
	duration, objective average
	// perToken is the prefill time of a token and perEvent the time between events in milliseconds, on a server of mean
	// speed.
	perToken, perEvent lowerAverage
}

func newDemand() demand {
	return demand{
		perToken: lowerAverage{value: initialPerToken, samples: initialSamples},
		perEvent: lowerAverage{value: initialPerEvent},
	}
}

// meanDuration returns the mean time from assignment to the end.
func (d *demand) meanDuration() float64 {
	if d.duration.samples == 0 {
		return initialDuration
	}
	return max(d.duration.value, 1)
}

// add counts an assigned request.
func (d *demand) add(work, memory, objective float64) {
	d.work.add(work)
	d.squaredWork.add(work * work)
	d.memory.add(memory)
	if objective > 0 {
		d.objective.add(objective)
	}
}

// workload is what one request needs at one server.
type workload struct {
	objectives, strictest Objectives
	// prompt is the number of prompt tokens, cached how many of them the server is expected to have.
	prompt, cached float64
	// shared is the number of tokens in shared parts.
	shared         float64
	memory         float64
	tokensPerEvent float64
}

// engineLoad is what is known of a server at the time of a decision. Times are in milliseconds.
type engineLoad struct {
	// perToken is the prefill time of a token, perEvent the time between events without prefill.
	perToken, perEvent float64
	// ownPrefill is the number of prompt tokens that this instance has outstanding there.
	ownPrefill float64
	// requests is the estimated number of requests there, remote how many of them are of other instances.
	requests, remote float64
	slots            float64
	// memory is the estimated number of tokens held, memoryLimit the most that fit; zero means unknown.
	memory, memoryLimit float64
}

// estimate is what a request would meet and cause at a server, in milliseconds.
type estimate struct {
	// first is the expected time to the first event, work the prefill time of the request, pause the longest pause that
	// it causes for the requests that run there.
	first, work, pause float64
	// cost is the expected number of late answers, including those of other requests.
	cost float64
}

// estimateAt estimates what a request meets and causes at a server. Prefill is served in order of arrival. The prefill
// of other instances is not known when the decision is made; it is estimated as the backlog of a queue (M/G/1) whose
// arrival rate follows from the number of requests there (Little's law).
func estimateAt(w workload, l engineLoad, d *demand) estimate {
	tokens := max(w.prompt-w.cached, 1)
	step := l.perEvent / w.tokensPerEvent
	chunk := chunkTokens * l.perToken
	var e estimate
	e.work = tokens*l.perToken + math.Ceil(tokens/chunkTokens)*step
	duration := d.meanDuration()
	rate := l.remote / duration
	busy := min(rate*d.work.value*l.perToken, maxBusyShare)
	backlog := rate * d.squaredWork.value * l.perToken * l.perToken / 2 / (1 - busy)
	known := l.ownPrefill*l.perToken + e.work + slotWait(w, l, duration) + l.perEvent
	e.first = known + backlog
	e.cost = lateShare(float64(w.objectives.FirstEvent.Milliseconds())-known, backlog, busy,
		float64(w.objectives.FirstEvent.Milliseconds()))

	// While a prompt is processed, each decoding step waits for a chunk of it.
	e.pause = l.perEvent + min(e.work, w.tokensPerEvent*chunk)
	e.cost += l.requests * pauseShare(e.pause, w.strictest.Pause)
	// The pauses of the request itself come from prompts that arrive while it runs.
	ownPause := l.perEvent + min(d.work.value*l.perToken, w.tokensPerEvent*chunk)
	e.cost += (1 - math.Exp(-rate*duration)) * pauseShare(ownPause, w.objectives.Pause)

	// A request that arrives while the prompt is processed waits for up to its whole prefill time.
	if d.objective.value > 0 {
		slack := max(d.objective.value-d.work.value*l.perToken-l.perEvent-backlog, 0)
		e.cost += l.requests / duration * max(e.work-slack, 0)
	}
	if l.slots > 0 {
		fill := max((l.requests+1)/l.slots-fillOnset, 0) / (2 - 2*fillOnset)
		e.cost += fill * fill
	}
	e.cost += expectedWeight * (e.first + l.requests*l.perEvent) / 1000
	e.cost += max(w.shared-w.cached, 0) / repeatedTokens
	return e
}

// slotWait returns the expected wait for a slot and for memory.
func slotWait(w workload, l engineLoad, duration float64) float64 {
	excess := 0.0
	if l.slots > 0 {
		excess = max(l.requests+1-l.slots, 0) / l.slots
	}
	if l.memoryLimit > 0 {
		excess = max(excess, (l.memory+w.memory-l.memoryLimit)/l.memoryLimit)
	}
	return excess * duration
}

// lateShare returns the probability that an unknown wait exceeds the slack, and more than 1 for a request that is late
// without it. The wait is zero with probability 1-busy, and otherwise exponential with the given mean overall.
func lateShare(slack, mean, busy, objective float64) float64 {
	switch {
	case objective <= 0:
		return 0
	case slack <= 0:
		return 1 + overdueWeight*(mean-slack)/objective
	case mean <= 0 || busy <= 0:
		return 0
	}
	return busy * math.Exp(-slack*busy/mean)
}

// pauseShare returns how likely a pause is longer than the objective, given that it is estimated.
func pauseShare(pause float64, objective time.Duration) float64 {
	if objective <= 0 {
		return 0
	}
	share := pause / float64(objective.Milliseconds())
	return min(max((share-pauseOnset)/(2-2*pauseOnset), 0), 1)
}

// average is an exponential moving average that weights its first samples equally.
type average struct {
	value, samples float64
}

// averageSamples is the number of samples that an average covers: a few seconds of requests at one instance.
const averageSamples = 32

func (a *average) add(x float64) {
	a.samples = min(a.samples+1, averageSamples)
	a.value += (x - a.value) / a.samples
}

// lowerAverage follows the low samples: high ones contain waits that are not to be measured.
type lowerAverage struct {
	value, samples float64
}

const (
	// initialPerToken, initialPerEvent and initialDuration are milliseconds that are assumed until requests have ended:
	// those of an engine of average size under light load.
	initialPerToken = 1.0 / 60
	initialPerEvent = 30
	initialDuration = 1000
	// initialSamples is how many samples the initial time per token counts as.
	initialSamples = 4
	// minSampleTokens is the least prefill from which the time per token is learned: with less, the time to the first
	// event is that of the event.
	minSampleTokens = 2000
	// fallWeight and riseWeight are the least weights of samples below and above the value. Most high samples contain
	// waits; those of an engine that has become slower raise the value within some tens of requests.
	fallWeight = 0.2
	riseWeight = 0.04
)

func (a *lowerAverage) add(x float64) {
	a.samples++
	weight := riseWeight
	if x < a.value {
		weight = fallWeight
	}
	a.value += max(weight, 1/a.samples) * (x - a.value)
}

// withPrior returns the average as if it had a number of earlier samples.
func (a *lowerAverage) withPrior(prior, samples float64) float64 {
	n := min(a.samples, averageSamples)
	return (a.value*n + prior*samples) / (n + samples)
}
