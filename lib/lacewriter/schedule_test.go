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

// testRetention is short, so that requests expire and ids are reused within a schedule.
func testRetention() laceledger.Retention {
	return laceledger.Retention{Idempotent: time.Minute, NonIdempotent: 4 * time.Minute}
}

// schedule runs several appenders on one store with faults. It is deterministic for a given seed.
type schedule struct {
	random  *rand.Rand
	store   *memoryStore
	logs    []*Log
	tags    uint64
	serials map[string]uint64
	// closedGrants is the number of closed grants. It shifts the range of the grant ids, so that new grants replace
	// them.
	closedGrants int
	history      []laceledger.Entry
	// acked holds the records with an Accepted verdict, notAppended the top-ups that were definitely not appended.
	acked       []laceledger.Record
	notAppended map[laceunit.TopUpID]bool
	// maybeAppended holds the top-ups that some attempt may have appended.
	maybeAppended map[laceunit.TopUpID]bool
	unknown       []laceledger.Record
	topUps        int
	logErr        error
	// now is the clock of the first appender; the clocks of the others are ahead of it.
	now int64
}

func newSchedule(seed int64) *schedule {
	s := &schedule{
		random:        rand.New(rand.NewSource(seed)),
		store:         newMemoryStore(),
		serials:       map[string]uint64{},
		notAppended:   map[laceunit.TopUpID]bool{},
		maybeAppended: map[laceunit.TopUpID]bool{},
	}
	s.store.onWrite = func(e laceplatform.Entry) {
		if !strings.HasPrefix(string(e.Key), "log/") {
			return
		}
		entry, err := lacewire.DecodeEntry(e.Value)
		if err != nil {
			s.logErr = err
		}
		s.history = append(s.history, entry)
	}
	s.store.random, s.store.faultPercent = s.random, 15
	for i := range 3 {
		s.logs = append(s.logs, s.newLog(i))
	}
	return s
}

func (s *schedule) newLog(i int) *Log {
	holder := laceunit.Holder{Instance: laceunit.InstanceID(fmt.Sprint("i", i)), Incarnation: laceunit.Incarnation(s.tags)}
	tag := func() uint64 { s.tags++; return s.tags }
	return NewLog(s.store, 0, holder, WithRandom(tag), WithMaxPartBytes(4096),
		WithClock(func() time.Time { return time.Unix(s.now+10*int64(i), 0) }), WithRetention(testRetention()))
}

func (s *schedule) randomRecord() laceledger.Record {
	n := s.random.Intn
	grant := fmt.Sprint("g", max(0, s.closedGrants-2)+n(6))
	id := laceunit.GrantID(grant)
	request := laceledger.Request{Account: "a", ID: laceunit.RequestID(fmt.Sprint("r", s.closedGrants/20, "-", n(12)))}
	attempt := laceunit.AttemptID(fmt.Sprint(n(2)))
	tokens := laceunit.Tokens(n(12))
	idempotent := request.ID[len(request.ID)-1]%2 == 0
	switch n(14) {
	case 0, 1:
		if n(3) > 0 {
			s.topUps++
		}
		return laceledger.TopUp{Budget: "b", Account: "a", ID: laceunit.TopUpID(fmt.Sprint("t", s.topUps)), Tokens: 20}
	case 2, 3:
		s.serials[grant]++
		return laceledger.Open{
			Budget: "b", Grant: id, Holder: laceunit.Holder{Instance: "h"},
			Tokens: 3 * tokens, Offline: tokens, Serial: s.serials[grant],
		}
	case 4:
		s.serials[grant]++
		return laceledger.Return{Budget: "b", Grant: id, Tokens: tokens, Serial: s.serials[grant]}
	case 5:
		if n(2) > 0 {
			return laceledger.Release{Budget: "b", Grant: id}
		}
		s.closedGrants++
		return laceledger.Close{Budget: "b", Grant: id}
	case 6, 7, 8:
		return laceledger.Intent{
			Budget: "b", Request: request, Digest: "d", Grant: id,
			Ceiling: tokens, Attempt: attempt, Idempotent: idempotent,
		}
	case 9:
		return laceledger.Takeover{
			Budget: "b", Request: request, From: attempt, Attempt: laceunit.AttemptID(fmt.Sprint(n(2))), Grant: id,
		}
	case 10, 11:
		return laceledger.Settle{Budget: "b", Request: request, Attempt: attempt, Tokens: tokens}
	case 12:
		return laceledger.Void{Budget: "b", Request: request, Attempt: attempt}
	default:
		return laceledger.Offline{
			Budget: "b", Request: request, Digest: "d", Grant: id,
			Attempt: attempt, Tokens: tokens, Idempotent: idempotent, Finished: n(2) == 0,
		}
	}
}

// step lets one appender append a batch, write a snapshot or restart.
func (s *schedule) step() {
	i := s.random.Intn(len(s.logs))
	s.now += int64(s.random.Intn(8) / 7)
	switch s.random.Intn(40) {
	case 0:
		s.logs[i] = s.newLog(i)
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
		batch = append(batch, s.randomRecord())
	}
	verdicts, err := s.logs[i].Append(context.Background(), batch)
	if errors.Is(err, ErrDamaged) {
		s.logErr = err
	}
	for k, r := range batch {
		switch {
		case err == nil && verdicts[k].Result == laceledger.Accepted:
			s.acked = append(s.acked, r)
		case errors.Is(err, laceplatform.ErrUnknown):
			s.unknown = append(s.unknown, r)
		}
		if t, ok := r.(laceledger.TopUp); ok {
			s.maybeAppended[t.ID] = s.maybeAppended[t.ID] || !errors.Is(err, laceplatform.ErrUnavailable)
			s.notAppended[t.ID] = !s.maybeAppended[t.ID]
		}
	}
}

// verify checks the log against the verdicts that the appenders returned, with invariants that are independent of the
// state machine.
func (s *schedule) verify() error {
	if s.logErr != nil {
		return s.logErr
	}
	var state laceledger.State
	paid, counts := laceunit.Tokens(0), map[string]int{}
	billed := map[laceunit.RequestID]int64{}
	bill := func(id laceunit.RequestID, at int64) error {
		window := testRetention().NonIdempotent
		if id[len(id)-1]%2 == 0 {
			window = testRetention().Idempotent
		}
		last, ok := billed[id]
		billed[id] = at
		if ok && at-last <= int64(window/time.Second) {
			return errors.Errorf("request %s billed at %d and at %d", id, last, at)
		}
		return nil
	}
	topUps := map[laceunit.TopUpID]bool{}
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
				if topUps[r.ID] {
					return errors.Errorf("duplicate top-up %s", r.ID)
				}
				topUps[r.ID] = true
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
			return errors.Errorf("entry %d: balance %+v, expected paid tokens %d", e.Sequence, b, paid)
		}
	}
	for id, absent := range s.notAppended {
		if absent && topUps[id] {
			return errors.Errorf("top-up %s is in the log although it was reported as not appended", id)
		}
	}
	for _, r := range s.acked {
		if counts[fmt.Sprintf("%#v", r)] == 0 {
			return errors.Errorf("acknowledged record is not in the log: %#v", r)
		}
	}
	return s.verifyReload(&state)
}

// verifyReload compares the state that a new instance loads with the state after the whole history.
func (s *schedule) verifyReload(want *laceledger.State) error {
	s.store.random = nil
	log := s.newLog(9)
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

// Guards against overspending, forks of the log, double billing and lost acknowledged records, under conflicts, lost
// and delayed writes, stale appenders and crashes.
func TestRandomScheduleKeepsInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(20261204)
	parameters.MinSuccessfulTests = 15
	properties := gopter.NewProperties(parameters)
	entries, conflicts, accepted := 0, 0, map[string]int{}
	properties.Property("schedule", prop.ForAllNoShrink(func(seed int64) (bool, error) {
		s := newSchedule(seed)
		for range 2500 {
			s.step()
		}
		entries += len(s.history)
		conflicts += s.store.writes - len(s.history)
		for _, r := range s.acked {
			accepted[fmt.Sprintf("%T", r)]++
		}
		err := errors.Wrapf(s.verify(), "seed %d", seed)
		return err == nil, err
	}, gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
	t.Logf("%d entries, %d writes without a new entry, accepted %v", entries, conflicts, accepted)
}
