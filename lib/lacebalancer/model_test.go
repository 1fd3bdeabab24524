package lacebalancer

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
)

const modelSeed = 20261204

// modelServer is the expected state of a server incarnation.
type modelServer struct {
	markedLeaving bool
	// modelPause is that of the server's address, which all servers there share.
	*modelPause
}

// modelPause is the expected state of the pause of an address.
type modelPause struct {
	pauseEnd time.Time
	// inFlight and responses count the requests that were sent and answered in the slow start after the last pause.
	inFlight, responses int
}

// sentRequest is a request that was assigned to a server and is not done.
type sentRequest struct {
	ticket          Ticket
	server          incarnation
	slowStart       bool
	responseStarted bool
	// entryLapsed is true once the entry of the server was missing for a time.
	entryLapsed bool
}

// model runs a balancer with randomly simulated servers and checks its decisions against their expected state. The
// servers leave, pause, fail, restart and take over each other's addresses; time advances in small and large steps.
type model struct {
	random    *rand.Rand
	balancer  *Balancer
	now       time.Time
	listed    fleet
	leaving   map[laceunit.ServerID]bool
	servers   map[incarnation]*modelServer
	pauses    map[laceunit.Address]*modelPause
	sent      []sentRequest
	waiting   map[Ticket]bool
	lastStart int64
	// inject injects a fault into the balancer before each step; nil for none.
	inject func(b *Balancer)
}

func newModel(seed uint64, inject func(b *Balancer)) (*model, error) {
	m := &model{
		random:  rand.New(rand.NewPCG(seed, modelSeed)),
		now:     start(),
		listed:  fleet{},
		leaving: map[laceunit.ServerID]bool{},
		servers: map[incarnation]*modelServer{},
		pauses:  map[laceunit.Address]*modelPause{},
		waiting: map[Ticket]bool{},
		inject:  inject,
	}
	var err error
	m.balancer, err = New(laceconfig.Routing{EjectAfter: 2, QueueTimeout: 20 * time.Second}, m.random.IntN)
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		m.addServer(laceunit.ServerID(fmt.Sprintf("s%d", i)))
	}
	return m, m.update()
}

// addServer lists a new incarnation of a server at one of a few addresses.
func (m *model) addServer(id laceunit.ServerID) {
	m.lastStart++
	address := laceunit.Address(fmt.Sprintf("127.0.0.1:%d", 1+m.random.IntN(3)))
	m.listed[id] = laceconfig.Server{
		Models:    []laceunit.ModelID{"m"},
		Slots:     4,
		StartTime: m.lastStart,
		Address:   address,
	}
	if m.pauses[address] == nil {
		m.pauses[address] = &modelPause{}
	}
	m.servers[incarnation{
		id:        id,
		startTime: m.lastStart,
	}] = &modelServer{modelPause: m.pauses[address]}
	delete(m.leaving, id)
}

func (m *model) update() error {
	m.expirePauses()
	return m.checkDecisions(m.balancer.Update(m.now, m.listed, m.leaving))
}

// usable returns the expected state of the listed servers that are not leaving.
func (m *model) usable() []*modelServer {
	var all []*modelServer
	for id, c := range m.listed {
		x := m.servers[incarnation{
			id:        id,
			startTime: c.StartTime,
		}]
		if !x.markedLeaving && !m.leaving[id] {
			all = append(all, x)
		}
	}
	return all
}

// checkDecisions checks decisions against the expected state of the servers.
func (m *model) checkDecisions(decisions []Decision) error {
	for _, d := range decisions {
		delete(m.waiting, d.Ticket)
		var err error
		switch {
		case d.Verdict == Waiting:
			m.waiting[d.Ticket] = true
		case d.Verdict == Assigned:
			err = m.checkAssignment(d)
		case d.Reason == NoServer && len(m.usable()) > 0:
			err = fmt.Errorf("no server, while %d are usable", len(m.usable()))
		case d.Reason == Paused:
			err = m.checkPausedRefusal(d)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (m *model) checkAssignment(d Decision) error {
	server := incarnation{
		id:        d.Server,
		startTime: m.listed[d.Server].StartTime,
	}
	x := m.servers[server]
	switch {
	case x == nil || x.markedLeaving || m.leaving[d.Server]:
		return fmt.Errorf("%v was picked although it is leaving", server)
	case m.now.Before(x.pauseEnd):
		return fmt.Errorf("%v was picked %s before the end of its pause", server, x.pauseEnd.Sub(m.now))
	case !x.pauseEnd.IsZero() && x.inFlight >= initialSlowStartLimit+x.responses:
		return fmt.Errorf("%v has %d requests in flight in slow start after %d responses", server, x.inFlight+1,
			x.responses)
	}
	s := sentRequest{
		ticket:    d.Ticket,
		server:    server,
		slowStart: !x.pauseEnd.IsZero(),
	}
	if s.slowStart {
		x.inFlight++
	}
	m.sent = append(m.sent, s)
	return nil
}

func (m *model) checkPausedRefusal(d Decision) error {
	shortest := time.Duration(1 << 62)
	for _, x := range m.usable() {
		shortest = min(shortest, x.pauseEnd.Sub(m.now))
	}
	if shortest <= 0 {
		return fmt.Errorf("refused because of pauses, while a server is not paused")
	}
	if d.RetryAfter < shortest || d.RetryAfter > shortest+max(shortest/jitterDivisor, minJitter) {
		return fmt.Errorf("retry delay of %s, while the first pause ends in %s", d.RetryAfter, shortest)
	}
	return nil
}

// respond simulates a response: the server announces that it is leaving, asks for a pause or starts a normal response.
func (m *model) respond(index int) error {
	s := &m.sent[index]
	x := m.servers[s.server]
	switch m.random.IntN(6) {
	case 0:
		x.markedLeaving = true
		_, decisions := m.balancer.MarkLeaving(m.now, s.ticket)
		return m.checkDecisions(decisions)
	case 1, 2:
		length := time.Duration(1+m.random.IntN(3000)) * time.Millisecond
		if end := m.now.Add(length); end.After(x.pauseEnd) {
			x.pauseEnd = end
		}
		x.responses = 0
		x.inFlight = 0
		for j := range m.sent {
			// Requests in flight from an earlier slow start count against the limit after this pause as well.
			if m.servers[m.sent[j].server].modelPause == x.modelPause && m.sent[j].slowStart {
				x.inFlight++
			}
		}
		_, decisions := m.balancer.Pause(m.now, s.ticket, length)
		return m.checkDecisions(decisions)
	}
	if s.slowStart && !s.responseStarted && !m.now.Before(x.pauseEnd) {
		m.countResponse(x.modelPause)
	}
	s.responseStarted = true
	return m.checkDecisions(m.balancer.ResponseStarted(m.now, s.ticket))
}

// countResponse counts a response in slow start, which ends after enough of them.
func (m *model) countResponse(x *modelPause) {
	if x.responses++; initialSlowStartLimit+x.responses >= finalSlowStartLimit {
		m.recover(x)
	}
}

// recover ends the pause of an address and its slow start.
func (m *model) recover(x *modelPause) {
	x.pauseEnd, x.inFlight, x.responses = time.Time{}, 0, 0
	for i := range m.sent {
		m.sent[i].slowStart = m.sent[i].slowStart && m.servers[m.sent[i].server].modelPause != x
	}
}

// expirePauses ends the pauses that a balancer forgets at an update.
func (m *model) expirePauses() {
	listed := map[*modelPause]bool{}
	for id, c := range m.listed {
		listed[m.servers[incarnation{
			id:        id,
			startTime: c.StartTime,
		}].modelPause] = true
	}
	for _, x := range m.pauses {
		if !listed[x] && m.now.Sub(x.pauseEnd) >= unlistedTTL {
			m.recover(x)
		}
	}
}

func (m *model) done(index int) error {
	s := m.sent[index]
	x := m.servers[s.server]
	m.sent = append(m.sent[:index], m.sent[index+1:]...)
	result := Result(1 + m.random.IntN(5))
	if s.slowStart {
		x.inFlight--
		if result == Success && !s.responseStarted && !m.now.Before(x.pauseEnd) {
			m.countResponse(x.modelPause)
		}
	}
	return m.checkDecisions(m.balancer.Done(m.now, s.ticket, result, time.Second))
}

// checkBlockReasons checks that requests are blocked if their server is now leaving, removed or paused, and only then.
func (m *model) checkBlockReasons() error {
	for _, s := range m.sent {
		x, reason := m.servers[s.server], m.balancer.BlockReason(m.now, s.ticket)
		c, listed := m.listed[s.server.id]
		unusable := s.entryLapsed || !listed || c.StartTime != s.server.startTime || x.markedLeaving ||
			m.leaving[s.server.id]
		if unusable != (reason == BlockLeaving) || !unusable && m.now.Before(x.pauseEnd) != (reason == BlockPaused) {
			return fmt.Errorf("block reason %d on a ticket of %v", reason, s.server)
		}
	}
	return nil
}

// lapseEntry removes an entry for a time and restores it unchanged.
func (m *model) lapseEntry(id laceunit.ServerID) error {
	old, ok := m.listed[id]
	delete(m.listed, id)
	if err := m.update(); err != nil || !ok {
		return err
	}
	m.now = m.now.Add(time.Duration(m.random.IntN(10)) * time.Second)
	m.listed[id] = old
	for i := range m.sent {
		m.sent[i].entryLapsed = m.sent[i].entryLapsed || m.sent[i].server.id == id
	}
	return m.update()
}

func (m *model) step() error {
	if m.inject != nil {
		m.inject(m.balancer)
	}
	m.now = m.now.Add(time.Duration(m.random.IntN(30)) * time.Millisecond)
	id := laceunit.ServerID(fmt.Sprintf("s%d", m.random.IntN(4)))
	switch n := m.random.IntN(24); {
	case n == 0:
		m.addServer(id)
		return m.update()
	case n == 1:
		return m.lapseEntry(id)
	case n == 2:
		m.leaving[id] = !m.leaving[id]
		return m.update()
	case n == 3:
		m.now = m.now.Add(time.Duration(m.random.IntN(5000)) * time.Millisecond)
		return m.checkDecisions(m.balancer.Tick(m.now))
	case n < 8 && len(m.sent) > 0:
		return m.respond(m.random.IntN(len(m.sent)))
	case n < 13 && len(m.sent) > 0:
		return m.done(m.random.IntN(len(m.sent)))
	}
	d, more := m.balancer.Pick(m.now, Request{
		Pool:    ModelPool("m"),
		Prefix:  uint64(m.random.IntN(4)),
		Exclude: []laceunit.ServerID{id},
	})
	return m.checkDecisions(append(more, d))
}

// runModel runs 400 steps and returns the first violation.
func runModel(seed uint64, inject func(b *Balancer)) error {
	m, err := newModel(seed, inject)
	for range 400 {
		if err != nil {
			return err
		}
		if err = m.step(); err == nil {
			err = m.checkBlockReasons()
		}
	}
	if err == nil && len(m.waiting) != len(m.balancer.waiting) {
		err = fmt.Errorf("%d requests should be queued, %d are", len(m.waiting), len(m.balancer.waiting))
	}
	return err
}

// Guards against requests to leaving servers and to paused addresses, under whatever server id, exceeding the slow start
// limit after a pause, too short retry delays, and leaving marks that are applied to another incarnation or to another
// server at the same address.
func TestLeavingAndPausedServersGetNoRequests(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(modelSeed)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	properties.Property("leaving and paused servers get no requests", prop.ForAll(func(seed uint64) bool {
		if err := runModel(seed, nil); err != nil {
			t.Logf("seed %d: %v", seed, err)
			return false
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against a server that is shut out for long by one wrong pause, and against more than one request to a server
// that means it.
func TestLongPausesAreConfirmed(t *testing.T) {
	for _, wrong := range []bool{true, false} {
		b := balancer(t, laceconfig.Routing{}, engines(1, 4))
		// The second request has been sent before the pause and is answered in the same way.
		first, second := pick(b, start(), request()), pick(b, start(), request())
		for _, d := range []Decision{first, second} {
			b.Pause(start(), d.Ticket, time.Hour)
			b.Done(start(), d.Ticket, Neutral, 0)
		}
		end := at(maxUnconfirmedPause)
		if d := pick(b, end.Add(-1), request()); d.Reason != Paused {
			t.Fatalf("in the pause: %+v", d)
		}
		trial := pick(b, end, request())
		if d := pick(b, end, request()); trial.Verdict != Assigned || d.Verdict != Waiting {
			t.Fatalf("at the end of an unconfirmed pause: %+v, %+v", trial, d)
		}
		if wrong {
			b.ResponseStarted(end, trial.Ticket)
		} else {
			b.Pause(end, trial.Ticket, time.Hour-maxUnconfirmedPause)
		}
		b.Done(end, trial.Ticket, Neutral, 0)
		if d := pick(b, at(time.Hour-1), request()); (d.Verdict == Assigned) != wrong {
			t.Errorf("wrong %t: after the trial: %+v", wrong, d)
		}
		if d := pick(b, at(time.Hour), request()); !wrong && d.Verdict != Assigned {
			t.Errorf("at the end of a confirmed pause: %+v", d)
		}
	}
}

// Guards against a model that does not detect a balancer which loses or misapplies leaving marks and pauses.
func TestModelDetectsInjectedFaults(t *testing.T) {
	for name, inject := range map[string]func(b *Balancer){
		"leaving marks are lost at an update": func(b *Balancer) { b.leavingServers.missingSince = nil },
		"a leaving mark applies to all servers at its address": func(b *Balancer) {
			addresses := map[laceunit.Address]bool{}
			for _, x := range b.servers {
				if b.IsLeaving(x.id, x.startTime) {
					addresses[x.address] = true
				}
			}
			for _, x := range b.servers {
				x.leaving = x.leaving || addresses[x.address]
			}
		},
		"pauses are lost": func(b *Balancer) {
			for _, x := range b.servers {
				x.pause = nil
			}
		},
		"a pause applies to one server at its address": func(b *Balancer) {
			seen := map[*pause]bool{}
			for _, id := range slices.Sorted(maps.Keys(b.servers)) {
				x := b.servers[id]
				if x.pause != nil && seen[x.pause] {
					x.pause = nil
				}
				seen[x.pause] = true
			}
		},
		"no slow start after a pause": func(b *Balancer) {
			for _, x := range b.servers {
				if x.pause != nil {
					x.pause.slowStartLimit = 2 * finalSlowStartLimit
				}
			}
		},
	} {
		caught := false
		for seed := range uint64(100) {
			if err := runModel(seed, inject); err != nil {
				t.Logf("%s: seed %d: %v", name, seed, err)
				caught = true
				break
			}
		}
		if !caught {
			t.Errorf("%s: not detected in 100 runs", name)
		}
	}
}

// Guards against unbounded memory for leaving marks, and against marks without a start time that outlive the entry.
func TestLeavingMarksAreBounded(t *testing.T) {
	var l leavingServers
	noneListed := func(incarnation) bool { return false }
	for i := range 3 * maxUnlisted {
		l.add(incarnation{
			id:        laceunit.ServerID(fmt.Sprintf("s%d", i)),
			startTime: int64(i),
		})
		if i%maxUnlisted == 0 {
			l.prune(at(time.Duration(i)*time.Microsecond), noneListed)
		}
	}
	l.prune(at(time.Second), noneListed)
	if n := len(l.missingSince); n != maxUnlisted {
		t.Errorf("%d marks are kept, want %d", n, maxUnlisted)
	}
	l.prune(at(time.Second+unlistedTTL), noneListed)
	if n := len(l.missingSince); n > 0 {
		t.Errorf("%d marks remain after %s", n, unlistedTTL)
	}
	l.add(incarnation{id: "s1"})
	if l.prune(at(0), noneListed); l.has(incarnation{id: "s1"}) {
		t.Error("a mark without a start time outlives the entry")
	}
}
