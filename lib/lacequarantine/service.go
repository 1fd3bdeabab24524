package lacequarantine

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// judgeInterval is how often it is checked whether crashes are to be judged while there are new ones, idleInterval
	// how often that and the leases of verdicts are checked otherwise.
	judgeInterval = 50 * time.Millisecond
	idleInterval  = time.Second
	// lapseAge is how long a verdict stays in force after the last request that it refused.
	lapseAge = 10 * time.Minute
	// adoptAge is how long a verdict may be missing in the store until any instance writes it.
	adoptAge = 3 * time.Second
	// maxRelaxDelay bounds the random wait before a change is published that many instances know of.
	maxRelaxDelay = 300 * time.Millisecond
)

// Options configure a service.
type Options struct {
	Self    laceunit.InstanceID
	Store   laceplatform.Store
	Keys    Keys
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service keeps requests with parts that crash servers away from the servers, together with the other instances.
type Service struct {
	options   Options
	index     atomic.Pointer[blockIndex]
	publisher publisher
	// crashed wakes the judge.
	crashed chan struct{}

	mu      sync.Mutex
	tracker Tracker
	// reported are the latest crashes that this instance observed.
	reported []Crash
	// usedAt is when each verdict was applied or last refused a request.
	usedAt map[VerdictID]time.Time
	// enforced are the verdicts in force.
	enforced map[VerdictID]Verdict
	attempts attemptSet
	// received are records of other instances that are not in the store yet.
	received map[laceplatform.Key]passedOn
}

// New returns a service; the caller must run Serve.
func New(options Options) *Service {
	return &Service{
		options:   options,
		publisher: newPublisher(options),
		crashed:   make(chan struct{}, 1),
		usedAt:    map[VerdictID]time.Time{},
		enforced:  map[VerdictID]Verdict{},
		received:  map[laceplatform.Key]passedOn{},
	}
}

// Blocked returns the verdict that refuses a request with these parts, if there is one.
func (s *Service) Blocked(parts []Part) (Verdict, bool) {
	index := s.index.Load()
	if index == nil {
		return Verdict{}, false
	}
	v, ok := index.match(parts)
	if ok {
		s.mu.Lock()
		s.usedAt[v.ID] = time.Now()
		s.mu.Unlock()
		s.options.Metrics.countRefused()
	}
	return v, ok
}

// Track calls abort when a verdict on a request's parts is reached while the request waits for its answer. The returned
// function ends that.
func (s *Service) Track(parts []Part, abort func()) (stop func()) {
	if len(parts) == 0 {
		return func() {}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.attempts.add(parts, abort)
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.attempts.remove(id)
	}
}

// ReportSuccess records that a server has written an answer to a request.
func (s *Service) ReportSuccess(parts []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publish(s.tracker.RecordSuccess(time.Now(), parts))
}

// ReportCrash records that a server crashed before it had written an answer to a request. It reports whether the
// request may be sent to another server, which is not so if one of its suspect parts was in an earlier crash.
func (s *Service) ReportCrash(server laceunit.ServerID, startTime int64, parts []Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	c, accused := s.addReport(now, server, startTime, parts)
	s.tracker.RecordCrash(now, s.options.Self, c)
	s.publisher.reportChanged(s.reported)
	wake(s.crashed)
	return !accused
}

// addReport adds a request to this instance's report on a crash. It also returns whether a suspect part was in the reports
// on an earlier crash. The lock must be held.
func (s *Service) addReport(
	now time.Time, server laceunit.ServerID, startTime int64, parts []Part,
) (reported Crash, accused bool) {
	// The writer still uses the former list.
	s.reported = slices.Clone(s.reported)
	i := slices.IndexFunc(s.reported, func(c Crash) bool { return c.Server == server && c.StartTime == startTime })
	if i < 0 {
		i = len(s.reported)
		s.reported = append(s.reported, Crash{
			Server:    server,
			StartTime: startTime,
			At:        now,
		})
		s.options.Metrics.countCrash()
	}
	c := &s.reported[i]
	accused = s.tracker.AddRequest(c, parts)
	reported = *c
	s.reported = s.reported[max(0, len(s.reported)-maxReported):]
	return reported, accused
}

// ApplyEntry applies a store entry, or its removal, at the revision of the entry.
func (s *Service) ApplyEntry(e laceplatform.Entry, removed bool) error {
	if instance, ok := suffix(e.Key, s.options.Keys.Reports); ok {
		if removed {
			s.publisher.recordRemoval(e.Key, e.Revision)
			return nil
		}
		return s.applyReport(laceunit.InstanceID(instance), e)
	}
	id, ok := suffix(e.Key, s.options.Keys.Verdicts)
	if !ok {
		return ErrRecord
	}
	if removed {
		s.removeVerdict(VerdictID(id), e)
		return nil
	}
	v, err := DecodeVerdict(VerdictID(id), e.Value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.recordEntry(e)
	s.apply(v)
	return nil
}

// apply puts a verdict of the store in force, without the parts that this instance knows to be harmless. In a large
// fleet many instances know that, so that each waits for a random time before it publishes the change.
func (s *Service) apply(v Verdict) {
	inForce, relaxed := s.tracker.Apply(time.Now(), v)
	if relaxed {
		inForce.Origin = s.options.Self
		s.publisher.verdictChanged(inForce, rand.N(maxRelaxDelay))
	} else {
		s.publisher.dropVerdict(v.ID)
	}
	s.enforce(inForce)
}

func (s *Service) applyReport(reporter laceunit.InstanceID, e laceplatform.Entry) error {
	crashes, err := DecodeReport(e.Value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reporter == s.options.Self {
		s.publisher.recordEntry(e)
	}
	now := time.Now()
	for _, c := range crashes {
		// A crash from before a restart of this instance counts like one of another instance.
		if reporter != s.options.Self || len(s.reported) == 0 {
			s.tracker.RecordCrash(now, reporter, c)
		}
	}
	wake(s.crashed)
	return nil
}

// removeVerdict handles the removal of a verdict's key. The lease of the key may have expired during an outage of the
// store, so that a verdict that is in use is published again.
func (s *Service) removeVerdict(id VerdictID, e laceplatform.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.recordRemoval(e.Key, e.Revision)
	if v, ok := s.enforced[id]; ok && v.State == Blocked && v.Origin != Operator && time.Since(s.usedAt[id]) < lapseAge {
		s.publisher.verdictChanged(v, rand.N(maxRelaxDelay))
		return
	}
	s.removeLocally(id)
}

// removeLocally removes a verdict from this instance; the lock must be held.
func (s *Service) removeLocally(id VerdictID) {
	if v, ok := s.enforced[id]; ok {
		s.log(v, "lapsed")
	}
	s.tracker.Remove(id)
	delete(s.usedAt, id)
	delete(s.enforced, id)
	s.updateIndex()
}

// enforce makes a verdict effective for requests if it is new or has changed; the lock must be held.
func (s *Service) enforce(v Verdict) {
	old, known := s.enforced[v.ID]
	if known && old.State == v.State && slices.Equal(old.Parts, v.Parts) {
		return
	}
	v.EnforcedAt = time.Now()
	s.enforced[v.ID] = v
	s.usedAt[v.ID] = v.EnforcedAt
	s.updateIndex()
	s.log(v, string(v.State))
	if v.State == Blocked {
		s.attempts.abort(v.Parts)
	}
}

// publish puts verdicts of this instance in force and publishes them; the lock must be held.
func (s *Service) publish(verdicts []Verdict) {
	for _, v := range verdicts {
		v.Origin = s.options.Self
		s.enforce(v)
		s.publisher.verdictChanged(v, 0)
	}
}

func (s *Service) updateIndex() {
	index := newBlockIndex(s.enforced)
	s.index.Store(&index)
	s.options.Metrics.setBlocked(len(index))
}

func (s *Service) log(v Verdict, state string) {
	s.options.Log.Write(lacelog.Quarantine, lacelog.P("verdict", v.ID), lacelog.P("state", state),
		lacelog.P("parts", Format(v.Parts)), lacelog.P("origin", v.Origin), lacelog.P("servers", v.Servers))
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	var writer sync.WaitGroup
	defer writer.Wait()
	// A store that does not respond must not delay verdicts.
	writer.Go(func() { s.publisher.serve(ctx) })
	for {
		s.renew()
		interval := idleInterval
		if s.judge() {
			interval = judgeInterval
		}
		if !awaitWake(ctx, s.crashed, interval) {
			return ctx.Err()
		}
	}
}

// wake wakes the receiver of a channel with a buffer of one.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// awaitWake waits until the channel is woken or the interval has passed; it returns false when the context ends.
func awaitWake(ctx context.Context, c <-chan struct{}, interval time.Duration) bool {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-c:
	case <-timer.C:
	}
	return true
}

// judge reaches the verdicts that are due, and reports whether the crashes have to be judged again soon.
func (s *Service) judge() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Metrics.setHistorySize(s.tracker.HistorySize())
	now := time.Now()
	if at := s.tracker.JudgeAt(); !at.IsZero() && !now.Before(at) {
		s.publish(s.tracker.Judge(now))
	}
	return !s.tracker.JudgeAt().IsZero()
}

// renew extends the leases of the verdicts in use, publishes those that are not in the store, since their origin may
// have ended before it could, and removes those that are neither in use nor in the store.
func (s *Service) renew() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.usedAt {
		v, stored := s.enforced[id], s.publisher.stored(id)
		switch {
		case time.Since(at) >= lapseAge && !stored:
			s.removeLocally(id)
		case stored:
			s.publisher.keep(v, at)
		case v.State == Blocked && v.Origin != Operator && time.Since(v.EnforcedAt) > adoptAge && !s.publisher.scheduled(id):
			s.publisher.verdictChanged(v, rand.N(maxRelaxDelay))
		}
	}
}
