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
	// callTimeout bounds one call; the measured calls take milliseconds.
	callTimeout = 10 * time.Second
	// warmupPairs is how many pairs precede the first measured one, by which time connections and grants exist.
	warmupPairs = 20
	// chatTokens is the length of prompts and responses in the measured chats.
	chatTokens = 8
)

// Options are the options of a measurement.
type Options struct {
	Workload laceworkload.Workload
	Seed     uint64
	Instance laceunit.Address
	Engine   laceunit.Address
	Service  laceunit.Address
	// Pairs is how many pairs of a routed and a direct call are measured for each kind of call.
	Pairs int
	// Workers send small chats for LoadDuration to measure the capacity of the instance; PID is its process.
	Workers      int
	LoadDuration time.Duration
	PID          int
}

// Meter measures the overhead and the capacity of one instance.
type Meter struct {
	options  Options
	client   *http.Client
	caller   *lacecaller.Caller
	backend  *lacebackend.HTTPClient
	platform laceplatform.Store
	idPrefix string
}

type noopObserver struct{}

// ChunkInterval implements lacecaller.Observer.
func (noopObserver) ChunkInterval(time.Duration) {}

// AttemptFailed implements lacecaller.Observer.
func (noopObserver) AttemptFailed(lacecaller.Call, lacecaller.Failure) {}

// New returns a meter.
func New(o Options) (*Meter, error) {
	m := &Meter{
		options:  o,
		client:   laceload.NewClient(),
		backend:  lacebackend.New(),
		idPrefix: ulid.Make().String(),
	}
	directory := lacecaller.NewDirectory(m.client, []laceunit.Address{o.Instance}, rand.New(rand.NewPCG(o.Seed, 0)))
	m.caller = lacecaller.New(m.client, directory, laceworkload.RetryPolicy{AttemptTimeout: callTimeout},
		noopObserver{})
	if p := o.Workload.Standin.Platform; p != "" {
		store, err := laceplatform.NewClient([]laceunit.Address{"http://" + p}, laceplatform.WithName("loadgen"))
		if err != nil {
			return nil, errors.Wrap(err, "overhead")
		}
		m.platform = store
	}
	return m, nil
}

// Run measures all kinds of calls and then the capacity of the instance.
func (m *Meter) Run(ctx context.Context) (Report, error) {
	defer m.client.CloseIdleConnections()
	r := Report{
		Instance: m.options.Instance,
		Seed:     m.options.Seed,
	}
	for _, id := range m.classOfEachKind() {
		comparison, err := m.compareClass(ctx, id)
		if err != nil {
			return Report{}, err
		}
		r.Calls = append(r.Calls, comparison)
	}
	roundTrips, err := m.measureRoundTrips(ctx)
	if err != nil {
		return Report{}, err
	}
	r.PlatformRoundTrip = percentiles(roundTrips)
	if m.options.Workers > 0 {
		if r.Capacity, err = m.measureCapacity(ctx); err != nil {
			return Report{}, err
		}
	}
	return r, nil
}

// classOfEachKind returns one class of each kind: chats, idempotent service calls and other service calls.
func (m *Meter) classOfEachKind() []laceworkload.ClassID {
	var all, selected []laceworkload.ClassID
	for id := range m.options.Workload.Classes {
		all = append(all, id)
	}
	slices.Sort(all)
	seen := map[string]bool{}
	for _, id := range all {
		c := m.options.Workload.Classes[id]
		kind := string(c.Kind)
		if c.Kind == laceworkload.KindService && c.Idempotent {
			kind = "idempotent"
		}
		if !seen[kind] {
			seen[kind] = true
			selected = append(selected, id)
		}
	}
	return selected
}

// newGenerator returns a generator of small requests of one class. Prompts share no prefix, so that the second call of
// a pair does not benefit from entries that the first one left in the engine's cache.
func (m *Meter) newGenerator(id laceworkload.ClassID, count int, phase string) *laceworkload.Generator {
	w := m.options.Workload
	c := w.Classes[id]
	small := laceworkload.LengthDistribution{
		Median: chatTokens,
		Min:    chatTokens,
		Max:    chatTokens,
	}
	c.Prompt, c.Output, c.Prefixes, c.StreamedShare = small, small, laceworkload.Prefixes{}, 1
	c.Accounts = c.Accounts[:1]
	w.Classes = map[laceworkload.ClassID]laceworkload.Class{id: c}
	w.Limits.MaxRequests = count
	// Arrival times are not used here, and must not end the generator early.
	w.Duration = 1 << 62
	return laceworkload.NewGenerator(w, m.options.Seed, m.idPrefix+"-"+phase+"-"+string(id))
}

// compareClass measures one class in pairs of a routed and a direct call. The order alternates from pair to pair.
func (m *Meter) compareClass(ctx context.Context, id laceworkload.ClassID) (Comparison, error) {
	class := m.options.Workload.Classes[id]
	comparison := Comparison{
		Class:      string(id),
		Idempotent: class.Idempotent || class.Kind == laceworkload.KindChat,
	}
	var routed, direct []time.Duration
	generator := m.newGenerator(id, 2*(m.options.Pairs+warmupPairs), "pair")
	for n := 0; ; n++ {
		a, firstOK := generator.Next()
		b, secondOK := generator.Next()
		if !firstOK || !secondOK {
			break
		}
		if ctx.Err() != nil {
			return Comparison{}, ctx.Err()
		}
		var r, d time.Duration
		var routedErr, directErr error
		if n%2 == 0 {
			r, routedErr = m.callRouted(ctx, &a)
			d, directErr = m.callDirect(ctx, &b)
		} else {
			d, directErr = m.callDirect(ctx, &b)
			r, routedErr = m.callRouted(ctx, &a)
		}
		switch {
		case directErr != nil:
			return Comparison{}, directErr
		case routedErr != nil:
			comparison.Failed++
			comparison.LastError = routedErr.Error()
		case n >= warmupPairs:
			routed, direct = append(routed, r), append(direct, d)
		}
	}
	comparison.Routed, comparison.Direct, comparison.Pairs = percentiles(routed), percentiles(direct), len(routed)
	comparison.Overhead = comparison.Routed.sub(comparison.Direct)
	return comparison, nil
}

func (m *Meter) callRouted(ctx context.Context, q *laceworkload.Request) (time.Duration, error) {
	r := m.caller.DoOnce(ctx, m.options.Instance, lacecaller.CallOf(q))
	if r.Outcome != lacefault.Done {
		return 0, errors.Errorf("overhead: %s/%s", r.LastFailure.Code, r.LastFailure.Outcome)
	}
	return r.TimeToFirstByte, nil
}

// callDirect calls the backend server without the instance.
func (m *Meter) callDirect(ctx context.Context, q *laceworkload.Request) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request := lacebackend.Scope(q.Account, q.ID)
	attempt := laceunit.AttemptID(q.ID)
	started := time.Now()
	if q.Kind == laceworkload.KindService {
		_, err := m.backend.Invoke(ctx, m.options.Service, lacebackend.InvokeRequest{
			RequestID: request,
			Attempt:   attempt,
			Method:    q.Method,
			Path:      q.Target,
			Body:      q.Body,
		})
		return time.Since(started), errors.Wrap(err, "overhead: direct call")
	}
	stream, err := m.backend.Generate(ctx, m.options.Engine, lacebackend.GenerateRequest{
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
	firstChunk := time.Since(started)
	for err == nil {
		_, err = stream.Next()
	}
	return firstChunk, nil
}

// measureRoundTrips measures round trips to the platform by reading a key that does not exist.
func (m *Meter) measureRoundTrips(ctx context.Context) ([]time.Duration, error) {
	if m.platform == nil {
		return nil, nil
	}
	roundTrips := make([]time.Duration, 0, m.options.Pairs)
	for range m.options.Pairs {
		started := time.Now()
		if _, err := m.platform.Get(ctx, "loadgen/none"); err != nil && !errors.Is(err, laceplatform.ErrMissing) {
			return nil, errors.Wrap(err, "overhead: platform round trip")
		}
		roundTrips = append(roundTrips, time.Since(started))
	}
	return roundTrips, nil
}
