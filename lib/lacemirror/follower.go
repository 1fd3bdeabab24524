package lacemirror

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// firstPause and lastPause bound the wait before a failed call is repeated. Changes have to arrive within 2 s.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// listTimeout bounds the wait until a list begins to arrive. One that arrives is not given up while it moves.
	listTimeout = 3 * time.Second
	// listInterval is how soon a list is asked for again beside one that has no answer yet: a call that was sent while
	// the store was away may never be answered. A slow store still has the whole listTimeout for each.
	listInterval = 300 * time.Millisecond
	// returnTime is how long after the store's return entries that lapsed meanwhile are back, if their writers live. It
	// is a little less than two seconds, within which a server that really leaves must be out of use.
	returnTime = 1800 * time.Millisecond
	// newsTime is the same for removals that another instance tells of, which may have waited there.
	newsTime = time.Second
	// outage is the silence after which a renewed contact counts as the end of an outage.
	outage = 1500 * time.Millisecond
)

// Source tells where changes come from.
type Source struct {
	// Peer is true when another instance sent them.
	FromPeer bool
	// Settles is when entries that are missing now are gone for good; zero means that they are. Entries may have lapsed
	// while the store was away.
	RemovalsFinalAt time.Time
	Revision        laceplatform.Revision
}

// Handler takes in changes in the order of their revisions; calls do not overlap.
type Handler func(changes []Change, source Source)

// Follower keeps a mirror up to date.
type Follower struct {
	prefix  laceplatform.Key
	store   laceplatform.Store
	handler Handler
	log     *lacelog.Logger
	pulse   *laceplatform.Pulse

	// described returns what the line of a lost contact tells about this process; nil for nothing.
	described func() []lacelog.Pair
	// lead is the follower whose first list this one waits for; nil for none.
	lead *Follower
	// begun is closed with the first copy.
	begun chan struct{}

	mu     sync.Mutex
	mirror *Mirror
	// contact is when the store was last heard of, from itself or by way of others.
	contact time.Time
	failing bool
	// reached is the newest moment at which the store is known to have held nothing that the copy lacks; watched is since
	// when a watch of the store adds to it, zero while there is none, it pauses, or it has failed and not been answered since.
	reached laceunit.Uptime
	watched laceunit.Uptime
	// arriving is true while an answer of the store has begun and not ended.
	arriving bool
	// heard is when the watch was opened or last had an event.
	heard laceunit.Uptime
	// indirect is true while other instances tell the news and the store is left alone.
	indirect bool
	// turned is closed and replaced when indirect changes.
	turned chan struct{}
	// recovered is when contact was regained after an outage.
	recovered time.Time
	// lacking are newer copies that others are known to hold, told is when one was last spoken of.
	lacking lacking
	told    laceunit.Uptime
}

// NewFollower returns a follower of a prefix. The pulse is that of the store.
func NewFollower(prefix laceplatform.Key, store laceplatform.Store, pulse *laceplatform.Pulse, log *lacelog.Logger, handler Handler) *Follower {
	return &Follower{
		prefix:  prefix,
		store:   store,
		handler: handler,
		log:     log,
		pulse:   pulse,
		mirror:  NewMirror(prefix),
		turned:  make(chan struct{}),
		begun:   make(chan struct{}),
	}
}

// Behind makes the follower wait for the first copy of another one of the same store. When many instances start while
// the store is away, each of them asks it for one prefix only. It must be called before Serve.
func (f *Follower) StartAfter(lead *Follower) { f.lead = lead }

// Describe adds what a function returns to the line of a lost contact. It must be called before Serve.
func (f *Follower) AddLogFields(described func() []lacelog.Pair) { f.described = described }

// Indirect tells whether other instances pass the news on, so that the store need not be asked.
func (f *Follower) SetViaPeers(indirect bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.indirect == indirect {
		return
	}
	f.indirect, f.failing = indirect, false
	close(f.turned)
	f.turned = make(chan struct{})
}

// begin tells those that wait for the first copy; the lock must be held.
func (f *Follower) begin() {
	select {
	case <-f.begun:
	default:
		if f.mirror.Revision() > 0 {
			close(f.begun)
		}
	}
}

// mode returns whether other instances tell the news, and what is closed when that changes.
func (f *Follower) mode() (indirect bool, turned <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.indirect, f.turned
}

// Prefix returns what the follower mirrors.
func (f *Follower) Prefix() laceplatform.Key { return f.prefix }

// Since returns what a copy at a revision lacks, and the value of a base of that copy, nil if it is not known here.
func (f *Follower) DeltaSince(revision laceplatform.Revision, base Base) (Delta, []byte, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.mirror.DeltaSince(revision)
	if !ok {
		return d, nil, false
	}
	value, _ := f.mirror.BaseValue(base)
	return d, value, true
}

// Base returns the value against which others can describe what this copy lacks, and its name.
func (f *Follower) Base() (Base, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mirror.Base()
}

// Means sets what an entry says, as a comparable value; nil stands for one that can't be told. An entry that says the same as
// before is neither handled nor passed on. It must be called before Serve.
func (f *Follower) SetNormalizer(meaning func(laceplatform.Entry) any) { f.mirror.meaning = meaning }

// Merge takes in what another instance sent.
func (f *Follower) Merge(d Delta) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.notify(f.mirror.Merge(d), true)
}

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		indirect, turned := f.mode()
		inner, cancel := context.WithCancel(ctx)
		stop := make(chan struct{})
		go func() {
			defer close(stop)
			defer cancel()
			select {
			case <-turned:
			case <-inner.Done():
			}
		}()
		if indirect {
			<-inner.Done()
		} else {
			f.follow(inner)
		}
		cancel()
		<-stop
	}
	return ctx.Err()
}

// follow lists and watches the store until the context ends.
func (f *Follower) follow(ctx context.Context) {
	if f.lead != nil {
		select {
		case <-f.lead.begun:
		case <-ctx.Done():
			return
		}
	}
	pause := firstPause
	// A copy that other instances have passed on is as good as a list, unless it lacks what they hold by now: a watch brings
	// every version since, a list the newest.
	listed := f.current()
	for ctx.Err() == nil {
		var err error
		if !listed {
			_, err = f.list(ctx)
		}
		if err == nil {
			listed = true
			err = f.watch(ctx, func() { pause = firstPause })
		}
		if errors.Is(err, laceplatform.ErrBehind) {
			err = f.poll(ctx)
		}
		if errors.Is(err, laceplatform.ErrCompacted) {
			listed = false
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			continue
		}
		f.lost(err)
		lacekernel.Sleep(ctx, pause)
		pause = min(2*pause, lastPause)
	}
}

func (f *Follower) watch(ctx context.Context, progress func()) error {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	s := f.Status()
	traced := httptrace.WithClientTrace(inner, &httptrace.ClientTrace{GotFirstResponseByte: f.arrive})
	w, err := f.store.Watch(traced, f.prefix, s.Revision)
	if err != nil {
		return err
	}
	defer func() { f.unwatch(ctx.Err() != nil) }()
	for e := range w.Events() {
		progress()
		f.event(e)
	}
	err = w.Err()
	if closeErr := w.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = laceplatform.ErrUnavailable
	}
	return err
}

func (f *Follower) event(e laceplatform.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.regained()
	f.progress(e)
	if c, ok := f.mirror.ApplyEvent(e); ok {
		f.notify([]Change{c}, false)
	}
	f.lacking.drop(f.mirror.Revision())
}

func (f *Follower) regained() {
	now := time.Now()
	silence := now.Sub(f.contact)
	if !f.contact.IsZero() && silence > outage && f.failing {
		f.recovered = now
	}
	if f.failing {
		f.log.Write(lacelog.Regained, lacelog.P("prefix", f.prefix), lacelog.P(lacelog.Revision, f.mirror.Revision()),
			lacelog.P("silence_ms", silence.Milliseconds()))
	}
	f.contact, f.failing = now, false
}

func (f *Follower) lost(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.failing {
		pairs := []lacelog.Pair{
			lacelog.P("prefix", f.prefix), lacelog.P(lacelog.Reason, err.Error()),
			lacelog.P(lacelog.Revision, f.mirror.Revision()), lacelog.P(lacelog.Age, time.Since(f.contact).Milliseconds()),
		}
		if f.described != nil {
			pairs = append(pairs, f.described()...)
		}
		f.log.Write(lacelog.Lost, pairs...)
	}
	f.failing = true
}

func (f *Follower) notify(changes []Change, peer bool) {
	f.begin()
	f.lacking.drop(f.mirror.Revision())
	if len(changes) == 0 {
		return
	}
	source := Source{
		FromPeer: peer,
		Revision: f.mirror.Revision(),
	}
	now := time.Now()
	if back := f.recovered.Add(returnTime); !f.recovered.IsZero() && now.Before(back) {
		source.RemovalsFinalAt = back
	}
	if peer {
		source.RemovalsFinalAt = now.Add(newsTime)
	}
	f.handler(changes, source)
}
