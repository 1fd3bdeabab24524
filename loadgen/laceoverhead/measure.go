package laceoverhead

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/lacebackend"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/loadgen/lacecaller"
	"lacewingcove/loadgen/laceload"
	"lacewingcove/loadgen/laceworkload"
)

const (
	// timeout bounds one call; the ones measured here take milliseconds.
	timeout = 10 * time.Second
	// warm is how many pairs come before the first measured one: connections and grants are there then.
	warm = 20
	// smallChat is the length of prompts and answers in the measured chats.
	smallChat = 8
)

// Setting says what is measured.
type Options struct {
	Workload laceworkload.Workload
	Seed     uint64
	Instance laceunit.Address
	Engine   laceunit.Address
	Service  laceunit.Address
	// Pairs is how many pairs of a routed and a direct call are measured for each kind of call.
	Pairs int
	// Workers send small chats for Period to find what the instance carries; PID is its process.
	Workers      int
	LoadDuration time.Duration
	PID          int
}

// Meter measures one instance.
type Meter struct {
	setting  Options
	client   *http.Client
	caller   *lacecaller.Caller
	backend  *lacebackend.HTTPClient
	platform laceplatform.Store
	tag      string
}

type quiet struct{}

// Gap implements lacecaller.Observer.
func (quiet) ChunkInterval(time.Duration) {}

// Refused implements lacecaller.Observer.
func (quiet) AttemptFailed(lacecaller.Call, lacecaller.Failure) {}

// New returns a meter.
func New(s Options) (*Meter, error) {
	m := &Meter{
		setting: s,
		client:  laceload.NewClient(),
		backend: lacebackend.New(),
		tag:     ulid.Make().String(),
	}
	directory := lacecaller.NewDirectory(m.client, []laceunit.Address{s.Instance}, rand.New(rand.NewPCG(s.Seed, 0)))
	m.caller = lacecaller.New(m.client, directory, laceworkload.RetryPolicy{AttemptTimeout: timeout}, quiet{})
	if p := s.Workload.Standin.Platform; p != "" {
		store, err := laceplatform.NewClient([]laceunit.Address{"http://" + p}, laceplatform.WithName("loadgen"))
		if err != nil {
			return nil, errors.Wrap(err, "overhead")
		}
		m.platform = store
	}
	return m, nil
}

// Do measures all kinds of calls and then what the instance carries.
func (m *Meter) Run(ctx context.Context) (Report, error) {
	defer m.client.CloseIdleConnections()
	r := Report{
		Instance: m.setting.Instance,
		Seed:     m.setting.Seed,
	}
	for _, id := range m.classes() {
		s, err := m.compare(ctx, id)
		if err != nil {
			return Report{}, err
		}
		r.Calls = append(r.Calls, s)
	}
	trips, err := m.trips(ctx)
	if err != nil {
		return Report{}, err
	}
	r.PlatformRoundTrip = spread(trips)
	if m.setting.Workers > 0 {
		if r.Capacity, err = m.carry(ctx); err != nil {
			return Report{}, err
		}
	}
	return r, nil
}

// classes returns one class of each kind: chats, idempotent calls and others.
func (m *Meter) classes() []laceworkload.ClassID {
	var all, out []laceworkload.ClassID
	for id := range m.setting.Workload.Classes {
		all = append(all, id)
	}
	slices.Sort(all)
	seen := map[string]bool{}
	for _, id := range all {
		c := m.setting.Workload.Classes[id]
		kind := string(c.Kind)
		if c.Kind == laceworkload.KindService && c.Idempotent {
			kind = "idempotent"
		}
		if !seen[kind] {
			seen[kind] = true
			out = append(out, id)
		}
	}
	return out
}

// source returns small requests of one class. Prompts share no prefix, so that the second call of a pair does not
// profit from what the first one left in the engine's cache.
func (m *Meter) source(id laceworkload.ClassID, count int, part string) *laceworkload.Generator {
	w := m.setting.Workload
	c := w.Classes[id]
	small := laceworkload.LengthDistribution{
		Median: smallChat,
		Min:    smallChat,
		Max:    smallChat,
	}
	c.Prompt, c.Output, c.Prefixes, c.StreamedShare = small, small, laceworkload.Prefixes{}, 1
	c.Accounts = c.Accounts[:1]
	w.Classes = map[laceworkload.ClassID]laceworkload.Class{id: c}
	w.Limits.MaxRequests = count
	// The arrival times are not used here, and must not end the source early.
	w.Duration = 1 << 62
	return laceworkload.NewGenerator(w, m.setting.Seed, m.tag+"-"+part+"-"+string(id))
}

// compare measures one class: in each pair one routed and one direct call, the first of them in turn.
func (m *Meter) compare(ctx context.Context, id laceworkload.ClassID) (Comparison, error) {
	class := m.setting.Workload.Classes[id]
	out := Comparison{
		Class:      string(id),
		Idempotent: class.Idempotent || class.Kind == laceworkload.KindChat,
	}
	var routed, direct []time.Duration
	source := m.source(id, 2*(m.setting.Pairs+warm), "pair")
	for n := 0; ; n++ {
		a, ok := source.Next()
		b, more := source.Next()
		if !ok || !more {
			break
		}
		if ctx.Err() != nil {
			return Comparison{}, ctx.Err()
		}
		var r, d time.Duration
		var failed, broken error
		if n%2 == 0 {
			r, failed = m.routed(ctx, &a)
			d, broken = m.direct(ctx, &b)
		} else {
			d, broken = m.direct(ctx, &b)
			r, failed = m.routed(ctx, &a)
		}
		switch {
		case broken != nil:
			return Comparison{}, broken
		case failed != nil:
			out.Failed++
			out.LastError = failed.Error()
		case n >= warm:
			routed, direct = append(routed, r), append(direct, d)
		}
	}
	out.Routed, out.Direct, out.Pairs = spread(routed), spread(direct), len(routed)
	out.Overhead = out.Routed.minus(out.Direct)
	return out, nil
}

func (m *Meter) routed(ctx context.Context, q *laceworkload.Request) (time.Duration, error) {
	r := m.caller.DoOnce(ctx, m.setting.Instance, lacecaller.CallOf(q))
	if r.Outcome != lacefault.Done {
		return 0, errors.Errorf("overhead: %s/%s", r.LastFailure.Code, r.LastFailure.Outcome)
	}
	return r.TimeToFirstByte, nil
}

// direct calls the backend server in place of the instance.
func (m *Meter) direct(ctx context.Context, q *laceworkload.Request) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request := lacebackend.Scope(q.Account, q.ID)
	attempt := laceunit.AttemptID(q.ID)
	began := time.Now()
	if q.Kind == laceworkload.KindService {
		_, err := m.backend.Invoke(ctx, m.setting.Service, lacebackend.InvokeRequest{
			RequestID: request,
			Attempt:   attempt,
			Method:    q.Method,
			Path:      q.Target,
			Body:      q.Body,
		})
		return time.Since(began), errors.Wrap(err, "overhead: direct call")
	}
	stream, err := m.backend.Generate(ctx, m.setting.Engine, lacebackend.GenerateRequest{
		RequestID: request,
		Attempt:   attempt,
		Model:     q.Model,
		Prompt:    q.Prompt,
		MaxTokens: q.MaxTokens,
	})
	if err != nil {
		return 0, errors.Wrap(err, "overhead: direct call")
	}
	defer func() { _ = stream.Close() }()
	_, err = stream.Next()
	first := time.Since(began)
	for err == nil {
		_, err = stream.Next()
	}
	return first, nil
}

// trips measures round trips to the platform: reads of a key that does not exist.
func (m *Meter) trips(ctx context.Context) ([]time.Duration, error) {
	if m.platform == nil {
		return nil, nil
	}
	out := make([]time.Duration, 0, m.setting.Pairs)
	for range m.setting.Pairs {
		began := time.Now()
		if _, err := m.platform.Get(ctx, "loadgen/none"); err != nil && !errors.Is(err, laceplatform.ErrMissing) {
			return nil, errors.Wrap(err, "overhead: platform")
		}
		out = append(out, time.Since(began))
	}
	return out, nil
}
