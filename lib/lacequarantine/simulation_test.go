package lacequarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	simStep = 10 * time.Millisecond
	// detectionWindow is the time after the fifth crash from which requests with the crashing part are late.
	detectionWindow = 3 * time.Second
	serverDowntime  = 3 * time.Second
	simSettledAge   = 500 * time.Millisecond
)

// news is a message to another instance; it returns what that instance publishes in turn.
type news func(now time.Time, to policy) []news

// policy decides for one instance which requests are sent. The methods return what the instance publishes.
type policy interface {
	blocked(prompt []Part) bool
	success(now time.Time, prompt []Part) []news
	// crash also returns whether the request may be retried.
	crash(now time.Time, s *simServer, prompt []Part) (mayRetry bool, published []news)
	judge(now time.Time) []news
}

// simServer is a backend server; running holds its requests.
type simServer struct {
	id        laceunit.ServerID
	startTime int64
	downUntil time.Time
	running   []*simRequest
}

// simRequest is a request on its way, at a server once server is set.
type simRequest struct {
	kind     string
	prompt   []Part
	crashing bool
	instance int
	server   *simServer
	attempts int
	beginsAt time.Time
	endsAt   time.Time
	settled  bool
}

// simulation runs instances with their policies against servers that crash.
type simulation struct {
	random    *rand.Rand
	start     time.Time
	now       time.Time
	instances []policy
	servers   []*simServer
	// events are functions by the step in which they run.
	events map[int64][]func()
	// newsDelay returns how long a message to another instance takes.
	newsDelay func() time.Duration
	serial    int

	crashTimes []time.Time
	late       int
	sent       map[string]int
	refused    map[string]int
	served     map[string]int
	failed     map[string]int
}

func newSimulation(seed uint64, instances, servers int, newPolicy func(laceunit.InstanceID) policy) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 9)),
		start:   time.Unix(1_700_000_000, 0),
		sent:    map[string]int{},
		refused: map[string]int{},
		served:  map[string]int{},
		failed:  map[string]int{},
		events:  map[int64][]func(){},
	}
	s.now = s.start
	s.newsDelay = func() time.Duration {
		// One message in ten is lost and arrives with the next contact.
		if s.random.IntN(10) == 0 {
			return s.between(time.Second, 1800*time.Millisecond)
		}
		return s.between(10*time.Millisecond, 600*time.Millisecond)
	}
	for i := range instances {
		s.instances = append(s.instances, newPolicy(laceunit.InstanceID(fmt.Sprintf("instance-%d", i))))
	}
	for i := range servers {
		s.servers = append(s.servers, &simServer{id: laceunit.ServerID(fmt.Sprintf("server-%d", i))})
	}
	return s
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

func (s *simulation) schedule(after time.Duration, run func()) {
	step := s.step() + 1 + int64(after/simStep)
	s.events[step] = append(s.events[step], run)
}

func (s *simulation) step() int64 { return int64(s.now.Sub(s.start) / simStep) }

// run plays until a time since the start.
func (s *simulation) run(until time.Duration) {
	for end := s.start.Add(until); s.now.Before(end); s.now = s.now.Add(simStep) {
		for _, run := range s.events[s.step()] {
			run()
		}
		delete(s.events, s.step())
		for _, x := range s.servers {
			s.progress(x)
		}
		for i, p := range s.instances {
			s.broadcast(i, p.judge(s.now))
		}
	}
}

func (s *simulation) broadcast(from int, published []news) {
	for _, x := range published {
		for i, p := range s.instances {
			if i != from {
				s.schedule(s.newsDelay(), func() { s.broadcast(i, x(s.now, p)) })
			}
		}
	}
}

// traffic sends requests of a kind with a mean rate per second within a time range.
func (s *simulation) traffic(kind string, rate float64, from, to time.Duration, crashing bool, prompt func() []Part) {
	var next func()
	next = func() {
		if s.now.Sub(s.start) >= to {
			return
		}
		s.serial++
		s.send(&simRequest{
			kind:     kind,
			prompt:   prompt(),
			crashing: crashing,
			instance: s.random.IntN(len(s.instances)),
		})
		s.schedule(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.schedule(from, next)
}

// send sends a request to a server that is up.
func (s *simulation) send(r *simRequest) {
	if r.attempts == 0 {
		s.sent[r.kind]++
	}
	if s.instances[r.instance].blocked(r.prompt) {
		s.refused[r.kind]++
		return
	}
	var up []*simServer
	for _, x := range s.servers {
		if !s.now.Before(x.downUntil) {
			up = append(up, x)
		}
	}
	if len(up) == 0 {
		s.failed[r.kind]++
		return
	}
	if r.crashing && len(s.crashTimes) >= 5 && s.now.After(s.crashTimes[4].Add(detectionWindow)) {
		s.late++
	}
	r.attempts++
	r.server, r.settled = up[s.random.IntN(len(up))], false
	r.beginsAt = s.now.Add(s.between(50*time.Millisecond, 800*time.Millisecond))
	r.endsAt = r.beginsAt.Add(s.between(200*time.Millisecond, 2*time.Second))
	r.server.running = append(r.server.running, r)
}

// progress advances the requests on a server.
func (s *simulation) progress(x *simServer) {
	for _, r := range slices.Clone(x.running) {
		switch {
		case r.crashing && !s.now.Before(r.beginsAt):
			s.crash(x)
			return
		case !s.now.Before(r.endsAt):
			x.running = slices.DeleteFunc(x.running, func(o *simRequest) bool { return o == r })
			s.broadcast(r.instance, s.instances[r.instance].success(s.now, r.prompt))
			s.served[r.kind]++
		case !r.settled && !s.now.Before(r.beginsAt.Add(simSettledAge)):
			r.settled = true
			s.broadcast(r.instance, s.instances[r.instance].success(s.now, r.prompt))
		}
	}
}

// crash ends all requests on a server; it is back after serverDowntime as a new process.
func (s *simulation) crash(x *simServer) {
	s.crashTimes = append(s.crashTimes, s.now)
	ended := x.running
	for _, r := range ended {
		mayRetry := true
		if !r.settled {
			var published []news
			mayRetry, published = s.instances[r.instance].crash(s.now, x, r.prompt)
			s.broadcast(r.instance, published)
		}
		switch {
		case mayRetry && r.attempts < 2:
			s.schedule(s.between(5*time.Millisecond, 20*time.Millisecond), func() { s.send(r) })
		case r.attempts < 3:
			// The caller repeats the request at another instance.
			r.attempts, r.instance = 3, s.random.IntN(len(s.instances))
			s.schedule(s.between(20*time.Millisecond, 100*time.Millisecond), func() { s.send(r) })
		default:
			s.failed[r.kind]++
		}
	}
	x.running = nil
	x.startTime++
	x.downUntil = s.now.Add(serverDowntime)
}

// part returns a part with an id.
func part(format string, values ...any) Part {
	return Part{
		Model: "m",
		ID:    fmt.Sprintf(format, values...),
	}
}

// trackerPolicy is the policy of Tracker.
type trackerPolicy struct {
	self    laceunit.InstanceID
	tracker Tracker
	reports map[laceunit.ServerID]Crash
	index   blockIndex
}

func newTrackerPolicy(self laceunit.InstanceID) policy {
	return &trackerPolicy{
		self:    self,
		reports: map[laceunit.ServerID]Crash{},
	}
}

func (p *trackerPolicy) blocked(prompt []Part) bool {
	_, ok := p.index.match(prompt)
	return ok
}

// publish returns the message with changed verdicts.
func (p *trackerPolicy) publish(changed []Verdict) []news {
	if len(changed) == 0 {
		return nil
	}
	p.index = newBlockIndex(p.tracker.Verdicts())
	return []news{func(now time.Time, to policy) []news {
		o := to.(*trackerPolicy)
		var relaxed []Verdict
		for _, v := range changed {
			// The store has one version of a verdict, the latest.
			if known, ok := o.tracker.Verdicts()[v.ID]; ok && known.At.After(v.At) {
				continue
			}
			if inForce, ok := o.tracker.Apply(now, v); ok {
				relaxed = append(relaxed, inForce)
			}
		}
		o.index = newBlockIndex(o.tracker.Verdicts())
		return o.publish(relaxed)
	}}
}

func (p *trackerPolicy) success(now time.Time, prompt []Part) []news {
	return p.publish(p.tracker.RecordSuccess(now, prompt))
}

func (p *trackerPolicy) crash(now time.Time, s *simServer, prompt []Part) (bool, []news) {
	c := p.reports[s.id]
	if c.StartTime != s.startTime || c.Server == "" {
		c = Crash{
			Server:    s.id,
			StartTime: s.startTime,
			At:        now,
		}
	}
	accused := p.tracker.AddRequest(&c, prompt)
	p.reports[s.id] = c
	p.tracker.RecordCrash(now, p.self, c)
	return !accused, []news{func(now time.Time, to policy) []news {
		to.(*trackerPolicy).tracker.RecordCrash(now, p.self, c)
		return nil
	}}
}

func (p *trackerPolicy) judge(now time.Time) []news {
	if at := p.tracker.JudgeAt(); at.IsZero() || now.Before(at) {
		return nil
	}
	return p.publish(p.tracker.Judge(now))
}

// countingPolicy is the plain rule: a part in the requests of five crashed servers is blocked. limit 0 blocks nothing,
// as before this package.
type countingPolicy struct {
	limit   int
	crashed map[Part]map[string]bool
}

func newCountingPolicy(limit int) func(laceunit.InstanceID) policy {
	return func(laceunit.InstanceID) policy {
		return &countingPolicy{
			limit:   limit,
			crashed: map[Part]map[string]bool{},
		}
	}
}

func (p *countingPolicy) blocked(prompt []Part) bool {
	return p.limit > 0 && slices.ContainsFunc(prompt, func(x Part) bool { return len(p.crashed[x]) >= p.limit })
}

func (p *countingPolicy) success(time.Time, []Part) []news { return nil }

func (p *countingPolicy) record(server string, prompt []Part) {
	for _, x := range prompt {
		if p.crashed[x] == nil {
			p.crashed[x] = map[string]bool{}
		}
		p.crashed[x][server] = true
	}
}

func (p *countingPolicy) crash(_ time.Time, s *simServer, prompt []Part) (bool, []news) {
	server := fmt.Sprint(s.id, "/", s.startTime)
	p.record(server, prompt)
	return true, []news{func(_ time.Time, to policy) []news {
		to.(*countingPolicy).record(server, prompt)
		return nil
	}}
}

func (p *countingPolicy) judge(time.Time) []news { return nil }
