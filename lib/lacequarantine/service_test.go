package lacequarantine

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// fakeStore is a store in memory that passes changes on to the instances at once.
type fakeStore struct {
	laceplatform.Store

	mu       sync.Mutex
	down     bool
	revision laceplatform.Revision
	entries  map[laceplatform.Key]laceplatform.Entry
	services []*Service
	leases   laceplatform.LeaseID
}

func (f *fakeStore) Lease(context.Context, time.Duration) (laceplatform.LeaseID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return 0, laceplatform.ErrUnavailable
	}
	f.leases++
	return f.leases, nil
}

func (f *fakeStore) Swap(_ context.Context, w laceplatform.Swap) (laceplatform.Revision, error) {
	f.mu.Lock()
	if f.down {
		f.mu.Unlock()
		return 0, laceplatform.ErrUnavailable
	}
	if f.entries[w.Key].Revision != w.Expect {
		defer f.mu.Unlock()
		return 0, &laceplatform.Conflict{Entries: []laceplatform.Entry{f.entries[w.Key]}}
	}
	f.revision++
	e := laceplatform.Entry{
		Key:      w.Key,
		Value:    w.Value,
		Revision: f.revision,
		Lease:    w.Lease,
	}
	f.entries[w.Key] = e
	services := f.services
	f.mu.Unlock()
	for _, s := range services {
		if err := s.ApplyEntry(e, false); err != nil {
			return 0, err
		}
	}
	return e.Revision, nil
}

// expire removes all records, as when their leases end.
func (f *fakeStore) expire(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	entries, services := f.entries, f.services
	f.entries = map[laceplatform.Key]laceplatform.Entry{}
	f.mu.Unlock()
	for _, e := range entries {
		e.Revision++
		for _, s := range services {
			if err := s.ApplyEntry(e, true); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func (f *fakeStore) setDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

func (f *fakeStore) count(prefix laceplatform.Key) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for k := range f.entries {
		if _, ok := suffix(k, prefix); ok {
			n++
		}
	}
	return n
}

func testKeys() Keys {
	return Keys{
		Reports:  "crash/",
		Verdicts: "verdict/",
	}
}

// newFleet returns running instances that share a store.
func newFleet(t *testing.T, names ...laceunit.InstanceID) (*fakeStore, []*Service) {
	t.Helper()
	f := &fakeStore{entries: map[laceplatform.Key]laceplatform.Entry{}}
	for _, name := range names {
		f.start(t, name)
	}
	return f, f.services
}

// start starts an instance with the records of the store.
func (f *fakeStore) start(t *testing.T, name laceunit.InstanceID) *Service {
	t.Helper()
	log := lacelog.Discard()
	s := New(Options{
		Self:  name,
		Store: f,
		Keys:  testKeys(),
		Log:   log,
	})
	f.mu.Lock()
	for _, e := range f.entries {
		if err := s.ApplyEntry(e, false); err != nil {
			t.Error(err)
		}
	}
	f.services = append(slices.Clone(f.services), s)
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		// Serve returns the error of the context.
		_ = s.Serve(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		log.Close()
	})
	return s
}

// await polls a condition for at most 5 s.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	timeout := time.After(5 * time.Second)
	for !condition() {
		select {
		case <-ticker.C:
		case <-timeout:
			t.Fatal("timed out waiting for " + what)
		}
	}
}

func (s *Service) blocks(prompt []Part) bool {
	_, ok := s.Blocked(prompt)
	return ok
}

func (s *Service) judged() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.JudgeAt().IsZero()
}

// crashThrice reports three crashes of servers with a prompt, in turn at instances, and an answer to another request.
func crashThrice(services []*Service, prompt []Part) {
	for i, server := range []laceunit.ServerID{"s1", "s2", "s3"} {
		services[i%len(services)].ReportCrash(server, 1, prompt)
		// A ticker would come sooner after a late tick, and the crashes would count as one.
		<-time.After(minCrashGap + 20*time.Millisecond)
	}
	for _, s := range services {
		s.ReportSuccess([]Part{part("base")})
	}
}

// Guards against a verdict that only the instances know which saw the crashes, and against one that an instance does not
// know after a start.
func TestVerdictReachesEveryInstance(t *testing.T) {
	f, services := newFleet(t, "i1", "i2", "i3", "i4")
	aborted := make(chan struct{})
	stop := services[3].Track([]Part{part("base"), part("bad")}, func() { close(aborted) })
	defer stop()
	crashThrice(services[:3], []Part{part("base"), part("bad")})
	for _, s := range services {
		await(t, "the verdict", func() bool { return s.blocks([]Part{part("x"), part("bad"), part("base")}) })
		if s.blocks([]Part{part("base"), part("sound")}) {
			t.Error("a request without the part is refused")
		}
	}
	select {
	case <-aborted:
	case <-time.After(5 * time.Second):
		t.Error("a request that waits for its answer is not aborted")
	}
	if !f.start(t, "i5").blocks([]Part{part("base"), part("bad")}) {
		t.Error("an instance that starts later does not know the verdict")
	}
}

// Guards against a verdict that ends with its lease while the requests go on, as in an outage of the store.
func TestVerdictOutlivesItsLease(t *testing.T) {
	f, services := newFleet(t, "i1", "i2")
	crashThrice(services, []Part{part("bad")})
	await(t, "the verdict in the store", func() bool { return f.count(testKeys().Verdicts) == 1 })
	f.expire(t)
	if !services[0].blocks([]Part{part("bad")}) {
		t.Error("the verdict ended with its lease")
	}
	await(t, "the verdict to be written again", func() bool { return f.count(testKeys().Verdicts) == 1 })
}

// Guards against a verdict that stays although a server writes an answer on its parts, at any instance.
func TestAnswerLiftsVerdict(t *testing.T) {
	_, services := newFleet(t, "i1", "i2", "i3")
	crashThrice(services[:2], []Part{part("caller"), part("new")})
	await(t, "the verdict", func() bool { return services[2].blocks([]Part{part("caller"), part("new")}) })
	services[2].ReportSuccess([]Part{part("caller")})
	for _, s := range services {
		await(t, "the narrower verdict", func() bool { return s.blocks([]Part{part("new")}) && !s.blocks([]Part{part("caller")}) })
	}
	services[1].ReportSuccess([]Part{part("new")})
	for _, s := range services {
		await(t, "the end of the verdict", func() bool { return !s.blocks([]Part{part("caller"), part("new")}) })
	}
}

// Guards against an instance that refuses requests although it knows that servers have answered such ones.
func TestInstanceThatKnowsBetterRelaxesVerdict(t *testing.T) {
	_, services := newFleet(t, "i1", "i2", "i3")
	services[2].ReportSuccess([]Part{part("popular")})
	crashThrice(services[:2], []Part{part("popular")})
	await(t, "crashes to be judged", services[0].judged)
	for _, s := range services {
		await(t, "the end of the verdict", func() bool { return !s.blocks([]Part{part("popular")}) })
	}
}

// Guards against each instance being left with its own crashes while the store is away.
func TestOutageDoesNotStopVerdicts(t *testing.T) {
	f, services := newFleet(t, "i1", "i2", "i3")
	f.setDown(true)
	crashThrice(services, []Part{part("bad")})
	exchange := func() {
		for _, from := range services {
			for _, to := range services {
				for _, r := range from.Unsaved() {
					if err := to.ApplyUnsaved(r); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
	}
	for _, s := range services {
		await(t, "the verdict", func() bool {
			exchange()
			return s.blocks([]Part{part("bad")})
		})
	}
	f.setDown(false)
	await(t, "the verdict in the store", func() bool { return f.count(testKeys().Verdicts) == 1 })
	await(t, "nothing to be passed on by the instances themselves", func() bool {
		records, err := services[0].publisher.unsaved()
		return err == nil && len(records) == 0
	})
}

// Guards against an operator's exemption that crashes or the state of instances override.
func TestOperatorAllowsParts(t *testing.T) {
	f, services := newFleet(t, "i1", "i2")
	v := newVerdict(time.Now(), []Part{part("vital")}, nil)
	v.State, v.Origin = Allowed, Operator
	value, err := EncodeVerdict(v)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.Swap(context.Background(), laceplatform.Swap{Key: testKeys().Verdict(v.ID), Value: value}); err != nil {
		t.Fatal(err)
	}
	crashThrice(services, []Part{part("vital")})
	await(t, "crashes to be judged", services[0].judged)
	if services[0].blocks([]Part{part("vital")}) {
		t.Error("crashes override the operator")
	}
}

// Guards against a request that crashes one server after the other on its way through the attempts.
func TestSecondCrashEndsRequest(t *testing.T) {
	_, services := newFleet(t, "i1")
	if !services[0].ReportCrash("s1", 1, []Part{part("new")}) {
		t.Error("a request whose server crashed may not be sent to a second one")
	}
	if services[0].ReportCrash("s2", 1, []Part{part("new")}) {
		t.Error("a request may be sent to a third server after two have crashed")
	}
	services[0].ReportSuccess([]Part{part("known")})
	if !services[0].ReportCrash("s3", 1, []Part{part("known")}) {
		t.Error("a request with harmless parts gets no second server")
	}
}

// Guards against a report that changes while it is written, when several requests end with one server.
func TestReportGrowsWhileItIsWritten(t *testing.T) {
	f, services := newFleet(t, "i1")
	for i := range 200 {
		services[0].ReportCrash(laceunit.ServerID(fmt.Sprint("s", i/maxPrompts)), 1, []Part{part("new-%d", i)})
		services[0].Unsaved()
	}
	await(t, "the report in the store", func() bool { return f.count(testKeys().Reports) == 1 })
}
