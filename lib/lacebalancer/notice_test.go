package lacebalancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const noticeSeed = 20261204

// told is what a start of a server has said, as the play knows it.
type told struct {
	left bool
	end  time.Time
	// running and answered count the requests that were sent since the end of the last pause.
	running, answered int
}

// sending is a request that was given a server.
type sending struct {
	ticket   Ticket
	to       birth
	trial    bool
	answered bool
	// orphan is true once the entry was missing for a time.
	orphan bool
}

// play runs a balancer against servers that leave, pause, fail, restart and take over addresses, while time jumps.
type play struct {
	random   *rand.Rand
	balancer *Balancer
	now      time.Time
	listed   fleet
	leaving  map[laceunit.ServerID]bool
	truth    map[birth]*told
	sent     []sending
	waiting  map[Ticket]bool
	serial   int64
	// breaks damages the balancer before each step; nil for a sound one.
	breaks func(b *Balancer)
}

func newPlay(seed uint64, breaks func(b *Balancer)) (*play, error) {
	p := &play{
		random:  rand.New(rand.NewPCG(seed, noticeSeed)),
		now:     start(),
		listed:  fleet{},
		leaving: map[laceunit.ServerID]bool{},
		truth:   map[birth]*told{},
		waiting: map[Ticket]bool{},
		breaks:  breaks,
	}
	var err error
	p.balancer, err = New(laceconfig.Routing{Eject: 2, Wait: 20 * time.Second}, p.random.IntN)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		p.enter(laceunit.ServerID(fmt.Sprintf("s%d", i)))
	}
	return p, p.update()
}

// enter lists a new start of a server at one of a few addresses.
func (p *play) enter(id laceunit.ServerID) {
	p.serial++
	p.listed[id] = laceconfig.Server{
		Models:  []laceunit.ModelID{"m"},
		Slots:   4,
		Born:    p.serial,
		Address: laceunit.Address(fmt.Sprintf("127.0.0.1:%d", 1+p.random.IntN(3))),
	}
	p.truth[birth{
		id:   id,
		born: p.serial,
	}] = &told{}
	delete(p.leaving, id)
}

func (p *play) update() error {
	return p.take(p.balancer.Update(p.now, p.listed, p.leaving))
}

// usable returns what is known of the servers that may be used at some time.
func (p *play) usable() []*told {
	var all []*told
	for id, c := range p.listed {
		x := p.truth[birth{
			id:   id,
			born: c.Born,
		}]
		if !x.left && !p.leaving[id] {
			all = append(all, x)
		}
	}
	return all
}

// take checks decisions against what the servers have said.
func (p *play) take(decisions []Decision) error {
	for _, d := range decisions {
		delete(p.waiting, d.Ticket)
		var err error
		switch {
		case d.Verdict == Waiting:
			p.waiting[d.Ticket] = true
		case d.Verdict == Assigned:
			err = p.place(d)
		case d.Reason == NoServer && len(p.usable()) > 0:
			err = fmt.Errorf("no server, while %d could be used", len(p.usable()))
		case d.Reason == Paused:
			err = p.paused(d)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *play) place(d Decision) error {
	to := birth{
		id:   d.Server,
		born: p.listed[d.Server].Born,
	}
	x := p.truth[to]
	switch {
	case x == nil || x.left || p.leaving[d.Server]:
		return fmt.Errorf("%v leaves and was picked", to)
	case p.now.Before(x.end):
		return fmt.Errorf("%v was picked %s before the end of its pause", to, x.end.Sub(p.now))
	case !x.end.IsZero() && x.running >= firstRequests+x.answered:
		return fmt.Errorf("%v has %d requests after its pause, %d were answered", to, x.running+1, x.answered)
	}
	s := sending{
		ticket: d.Ticket,
		to:     to,
		trial:  !x.end.IsZero(),
	}
	if s.trial {
		x.running++
	}
	p.sent = append(p.sent, s)
	return nil
}

func (p *play) paused(d Decision) error {
	least := time.Duration(1 << 62)
	for _, x := range p.usable() {
		least = min(least, x.end.Sub(p.now))
	}
	if least <= 0 {
		return fmt.Errorf("refused for pauses, while a server has none")
	}
	if d.RetryAfter < least || d.RetryAfter > least+max(least/returnShare, leastReturn) {
		return fmt.Errorf("callers are told to come back after %s, the first pause ends in %s", d.RetryAfter, least)
	}
	return nil
}

// notice lets the server of a sent request say something.
func (p *play) notice(i int) error {
	s := &p.sent[i]
	x := p.truth[s.to]
	switch p.random.IntN(6) {
	case 0:
		x.left = true
		_, decisions := p.balancer.MarkLeaving(p.now, s.ticket)
		return p.take(decisions)
	case 1, 2:
		length := time.Duration(1+p.random.IntN(3000)) * time.Millisecond
		if end := p.now.Add(length); end.After(x.end) {
			x.end = end
		}
		x.answered = 0
		x.running = 0
		for j := range p.sent {
			// What is under way counts against the allowance after the pause if it was sent after an earlier one.
			if p.sent[j].to == s.to && p.sent[j].trial {
				x.running++
			}
		}
		_, decisions := p.balancer.Pause(p.now, s.ticket, length)
		return p.take(decisions)
	}
	if s.trial && !s.answered && !p.now.Before(x.end) {
		p.grow(s.to)
	}
	s.answered = true
	return p.take(p.balancer.ResponseStarted(p.now, s.ticket))
}

// grow notes an answer to a request that was sent after a pause; a server that gave enough of them has recovered.
func (p *play) grow(to birth) {
	if p.truth[to].answered++; firstRequests+p.truth[to].answered >= fullRequests {
		p.recover(to)
	}
}

// recover ends what is left of a pause.
func (p *play) recover(to birth) {
	x := p.truth[to]
	x.end, x.running, x.answered = time.Time{}, 0, 0
	for i := range p.sent {
		p.sent[i].trial = p.sent[i].trial && p.sent[i].to != to
	}
}

func (p *play) done(i int) error {
	s := p.sent[i]
	x := p.truth[s.to]
	p.sent = append(p.sent[:i], p.sent[i+1:]...)
	result := Result(1 + p.random.IntN(5))
	if s.trial {
		x.running--
		if result == Success && !s.answered && !p.now.Before(x.end) {
			p.grow(s.to)
		}
	}
	return p.take(p.balancer.Done(p.now, s.ticket, result, time.Second))
}

// held checks that nothing is sent on tickets whose server leaves or pauses by now.
func (p *play) held() error {
	for _, s := range p.sent {
		x, hold := p.truth[s.to], p.balancer.BlockReason(p.now, s.ticket)
		c, listed := p.listed[s.to.id]
		gone := s.orphan || !listed || c.Born != s.to.born || x.left || p.leaving[s.to.id]
		if gone != (hold == BlockLeaving) || !gone && p.now.Before(x.end) != (hold == BlockPaused) {
			return fmt.Errorf("hold %d on a ticket of %v", hold, s.to)
		}
	}
	return nil
}

// lapse takes an entry away and puts it back unchanged.
func (p *play) lapse(id laceunit.ServerID) error {
	old, ok := p.listed[id]
	delete(p.listed, id)
	if err := p.update(); err != nil || !ok {
		return err
	}
	to := birth{
		id:   id,
		born: old.Born,
	}
	if p.now.Sub(p.truth[to].end) >= leftTime {
		p.recover(to)
	}
	p.now = p.now.Add(time.Duration(p.random.IntN(10)) * time.Second)
	p.listed[id] = old
	for i := range p.sent {
		p.sent[i].orphan = p.sent[i].orphan || p.sent[i].to.id == id
	}
	return p.update()
}

func (p *play) step() error {
	if p.breaks != nil {
		p.breaks(p.balancer)
	}
	p.now = p.now.Add(time.Duration(p.random.IntN(30)) * time.Millisecond)
	id := laceunit.ServerID(fmt.Sprintf("s%d", p.random.IntN(4)))
	switch n := p.random.IntN(24); {
	case n == 0:
		p.enter(id)
		return p.update()
	case n == 1:
		return p.lapse(id)
	case n == 2:
		p.leaving[id] = !p.leaving[id]
		return p.update()
	case n == 3:
		p.now = p.now.Add(time.Duration(p.random.IntN(5000)) * time.Millisecond)
		return p.take(p.balancer.Tick(p.now))
	case n < 8 && len(p.sent) > 0:
		return p.notice(p.random.IntN(len(p.sent)))
	case n < 13 && len(p.sent) > 0:
		return p.done(p.random.IntN(len(p.sent)))
	}
	d, more := p.balancer.Pick(p.now, Request{
		Pool:    ModelPool("m"),
		Prefix:  uint64(p.random.IntN(4)),
		Exclude: []laceunit.ServerID{id},
	})
	return p.take(append(more, d))
}

// run plays some steps and returns the first promise that broke.
func run(seed uint64, breaks func(b *Balancer)) error {
	p, err := newPlay(seed, breaks)
	for range 400 {
		if err != nil {
			return err
		}
		if err = p.step(); err == nil {
			err = p.held()
		}
	}
	if err == nil && len(p.waiting) != len(p.balancer.waiting) {
		err = fmt.Errorf("%d requests wait, %d of them are known", len(p.waiting), len(p.balancer.waiting))
	}
	return err
}

// Guards against requests to servers that leave or pause, a server that gets too much too soon after a pause, callers that
// are told to come back too early, and servers that are held to what another start or another server at their address said.
func TestNoticesAreKept(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(noticeSeed)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("servers get nothing that they don't want", prop.ForAll(func(seed uint64) bool {
		if err := run(seed, nil); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return false
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against plays that would not notice a balancer which forgets what servers have said.
func TestBrokenBalancersAreNoticed(t *testing.T) {
	for name, breaks := range map[string]func(b *Balancer){
		"marks end with the next list": func(b *Balancer) { b.leavers.marks = nil },
		"a mark holds for its address": func(b *Balancer) {
			addresses := map[laceunit.Address]bool{}
			for _, x := range b.servers {
				if b.IsLeaving(x.id, x.born) {
					addresses[x.address] = true
				}
			}
			for _, x := range b.servers {
				x.leaving = x.leaving || addresses[x.address]
			}
		},
		"pauses are forgotten": func(b *Balancer) {
			for _, x := range b.servers {
				x.pause = nil
			}
		},
		"everything at once after a pause": func(b *Balancer) {
			for _, x := range b.servers {
				if x.pause != nil {
					x.pause.allowance = 2 * fullRequests
				}
			}
		},
	} {
		caught := false
		for seed := range uint64(100) {
			if err := run(seed, breaks); err != nil {
				t.Logf("%s: seed %d: %v", name, seed, err)
				caught = true
				break
			}
		}
		if !caught {
			t.Errorf("%s: not noticed in 100 plays", name)
		}
	}
}

// Guards against marks without a bound in memory, and marks of servers whose starts are unknown that outlive the entry.
func TestMarksAreBounded(t *testing.T) {
	var l leavers
	none := func(birth) bool { return false }
	for i := range 3 * leftMost {
		l.add(birth{
			id:   laceunit.ServerID(fmt.Sprintf("s%d", i)),
			born: int64(i),
		})
		if i%leftMost == 0 {
			l.prune(at(time.Duration(i)*time.Microsecond), none)
		}
	}
	l.prune(at(time.Second), none)
	if n := len(l.marks); n != leftMost {
		t.Errorf("%d marks are kept, %d at most", n, leftMost)
	}
	l.prune(at(time.Second+leftTime), none)
	if n := len(l.marks); n > 0 {
		t.Errorf("%d marks are left after %s", n, leftTime)
	}
	l.add(birth{id: "s1"})
	if l.prune(at(0), none); l.has(birth{id: "s1"}) {
		t.Error("a mark without a start outlives the entry")
	}
}
