package lacewriter

import (
	"context"
	"fmt"
	"math/rand"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// retain is short, so that requests are forgotten and ids are used again within a schedule.
func retain() laceledger.Retention {
	return laceledger.Retention{Idempotent: time.Minute, NonIdempotent: 4 * time.Minute}
}

// schedule runs several appenders over one faulty platform; everything in it follows from the seed.
type schedule struct {
	random  *rand.Rand
	store   *memory
	logs    []*Log
	tags    uint64
	serials map[string]uint64
	// closed counts the grants that were closed; each makes room for a new one.
	closed  int
	history []laceledger.Entry
	// acked holds the records with an Accepted verdict, refused the top-ups that were certainly not appended.
	acked   []laceledger.Record
	refused map[laceunit.TopUpID]bool
	// tried holds the top-ups that another try may have appended.
	tried   map[laceunit.TopUpID]bool
	unknown []laceledger.Record
	topups  int
	damage  error
	// now is the time of the first appender; the others are ahead of it.
	now int64
}

func newSchedule(seed int64) *schedule {
	s := &schedule{random: rand.New(rand.NewSource(seed)), store: newMemory(), serials: map[string]uint64{}, refused: map[laceunit.TopUpID]bool{}, tried: map[laceunit.TopUpID]bool{}}
	s.store.written = func(e laceplatform.Entry) {
		if !strings.HasPrefix(string(e.Key), "log/") {
			return
		}
		entry, err := lacewire.DecodeEntry(e.Value)
		if err != nil {
			s.damage = err
		}
		s.history = append(s.history, entry)
	}
	s.store.random, s.store.faults = s.random, 15
	for i := range 3 {
		s.logs = append(s.logs, s.start(i))
	}
	return s
}

func (s *schedule) start(i int) *Log {
	holder := laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", i)), Incarnation: laceunit.Incarnation(s.tags)}
	tag := func() uint64 { s.tags++; return s.tags }
	return NewLog(s.store, 0, holder, WithRandom(tag), WithMaxPartBytes(4096),
		WithClock(func() time.Time { return time.Unix(s.now+10*int64(i), 0) }), WithRetention(retain()))
}

func (s *schedule) record() laceledger.Record {
	n := s.random.Intn
	grant := fmt.Sprint("g", max(0, s.closed-2)+n(6))
	id := laceunit.GrantID(grant)
	request := laceledger.Request{Account: "a", ID: laceunit.RequestID(fmt.Sprint("r", s.closed/20, "-", n(12)))}
	attempt := laceunit.AttemptID(fmt.Sprint(n(2)))
	tokens := laceunit.Tokens(n(12))
	idempotent := request.ID[len(request.ID)-1]%2 == 0
	switch n(14) {
	case 0, 1:
		if n(3) > 0 {
			s.topups++
		}
		return laceledger.TopUp{Budget: "b", Account: "a", ID: laceunit.TopUpID(fmt.Sprint("t", s.topups)), Tokens: 20}
	case 2, 3:
		s.serials[grant]++
		return laceledger.Open{Budget: "b", Grant: id, Holder: laceunit.Holder{Instance: "h"}, Tokens: 3 * tokens, Offline: tokens, Serial: s.serials[grant]}
	case 4:
		s.serials[grant]++
		return laceledger.Return{Budget: "b", Grant: id, Tokens: tokens, Serial: s.serials[grant]}
	case 5:
		if n(2) > 0 {
			return laceledger.Release{Budget: "b", Grant: id}
		}
		s.closed++
		return laceledger.Close{Budget: "b", Grant: id}
	case 6, 7, 8:
		return laceledger.Intent{Budget: "b", Request: request, Digest: "d", Grant: id, Ceiling: tokens, Attempt: attempt, Idempotent: idempotent}
	case 9:
		return laceledger.Takeover{Budget: "b", Request: request, From: attempt, Attempt: laceunit.AttemptID(fmt.Sprint(n(2))), Grant: id}
	case 10, 11:
		return laceledger.Settle{Budget: "b", Request: request, Attempt: attempt, Tokens: tokens}
	case 12:
		return laceledger.Void{Budget: "b", Request: request, Attempt: attempt}
	default:
		return laceledger.Offline{Budget: "b", Request: request, Digest: "d", Grant: id, Attempt: attempt, Tokens: tokens, Idempotent: idempotent, Finished: n(2) == 0}
	}
}

// step lets one appender do something, or crash.
func (s *schedule) step() {
	i := s.random.Intn(len(s.logs))
	s.now += int64(s.random.Intn(8) / 7)
	switch s.random.Intn(40) {
	case 0:
		s.logs[i] = s.start(i)
		return
	case 1:
		_ = s.logs[i].Snapshot(context.Background())
		return
	}
	var batch []laceledger.Record
	for range 1 + s.random.Intn(4) {
		if n := len(s.unknown); n > 0 && s.random.Intn(3) == 0 {
			batch, s.unknown = append(batch, s.unknown[n-1]), s.unknown[:n-1]
			continue
		}
		batch = append(batch, s.record())
	}
	verdicts, err := s.logs[i].Append(context.Background(), batch)
	if errors.Is(err, ErrDamaged) {
		s.damage = err
	}
	for k, r := range batch {
		switch {
		case err == nil && verdicts[k].Result == laceledger.Accepted:
			s.acked = append(s.acked, r)
		case errors.Is(err, laceplatform.ErrUnknown):
			s.unknown = append(s.unknown, r)
		}
		if t, ok := r.(laceledger.TopUp); ok {
			s.tried[t.ID] = s.tried[t.ID] || !errors.Is(err, laceplatform.ErrUnavailable)
			s.refused[t.ID] = !s.tried[t.ID]
		}
	}
}

// verify compares the log with what was acknowledged, by rules of its own beside those of the state machine.
func (s *schedule) verify() error {
	if s.damage != nil {
		return s.damage
	}
	var state laceledger.State
	paid, counts := laceunit.Tokens(0), map[string]int{}
	billed := map[laceunit.RequestID]int64{}
	bill := func(id laceunit.RequestID, at int64) error {
		window := retain().NonIdempotent
		if id[len(id)-1]%2 == 0 {
			window = retain().Idempotent
		}
		last, ok := billed[id]
		billed[id] = at
		if ok && at-last <= int64(window/time.Second) {
			return errors.Errorf("request %s billed at %d and at %d", id, last, at)
		}
		return nil
	}
	topups := map[laceunit.TopUpID]bool{}
	for i, e := range s.history {
		if e.Sequence != laceunit.Sequence(i+1) {
			return errors.Errorf("write %d to the ring is entry %d", i+1, e.Sequence)
		}
		err := state.Apply(e)
		if err != nil {
			return err
		}
		if err = state.Check(); err != nil {
			return err
		}
		for _, r := range e.Records {
			counts[fmt.Sprintf("%#v", r)]++
			switch r := r.(type) {
			case laceledger.TopUp:
				if topups[r.ID] {
					return errors.Errorf("top-up %s twice", r.ID)
				}
				topups[r.ID] = true
				paid += r.Tokens
			case laceledger.Settle:
				err = bill(r.Request.ID, e.At)
			case laceledger.Offline:
				if r.Finished {
					err = bill(r.Request.ID, e.At)
				}
			}
			if err != nil {
				return err
			}
		}
		if b, _ := state.Balance("b"); b.Paid != paid || b.Paid < b.Settled+b.Outstanding {
			return errors.Errorf("entry %d: balance %+v, topped up %d", e.Sequence, b, paid)
		}
	}
	for id, refused := range s.refused {
		if refused && topups[id] {
			return errors.Errorf("top-up %s is in the log although it was reported as not appended", id)
		}
	}
	for _, r := range s.acked {
		if counts[fmt.Sprintf("%#v", r)] == 0 {
			return errors.Errorf("acknowledged record is not in the log: %#v", r)
		}
	}
	return s.reload(&state)
}

// reload compares the state that a new instance finds with the one that the whole history leads to.
func (s *schedule) reload(want *laceledger.State) error {
	s.store.random = nil
	log := s.start(9)
	if err := log.Refresh(context.Background()); err != nil {
		return err
	}
	var err error
	log.View(func(got *laceledger.State) {
		if !reflect.DeepEqual(got.Snapshot(), want.Snapshot()) {
			err = errors.Errorf("reloaded %+v, want %+v", got.Snapshot(), want.Snapshot())
		}
		for c := range laceledger.RetentionClassCount {
			if !reflect.DeepEqual(got.Segment(c, 0, 1<<30).Ended, want.Segment(c, 0, 1<<30).Ended) {
				err = errors.Errorf("class %d: ended requests differ after a reload", c)
			}
		}
	})
	return err
}

// Guards against overspend, forks of the log, double billing and lost acknowledgements under conflicts, lost and late
// writes, stale appenders and crashes.
func TestScheduleKeepsTheLedgerExact(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 15
	properties := gopter.NewProperties(parameters)
	entries, conflicts, kinds := 0, 0, map[string]int{}
	properties.Property("schedule", prop.ForAllNoShrink(func(seed int64) (bool, error) {
		s := newSchedule(seed)
		for range 2500 {
			s.step()
		}
		entries += len(s.history)
		conflicts += s.store.writes - len(s.history)
		for _, r := range s.acked {
			kinds[fmt.Sprintf("%T", r)]++
		}
		err := errors.Wrapf(s.verify(), "seed %d", seed)
		return err == nil, err
	}, gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
	t.Logf("%d entries, %d writes without a new entry, accepted %v", entries, conflicts, kinds)
}
