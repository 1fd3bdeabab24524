package lacequota

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceroute"
	"lacewingcove/lib/laceunit"
)

const (
	// reportInterval is how often an instance reports spend and adapts its holdings; two calls each time.
	reportInterval = time.Second
	// memberInterval is the interval for each member in larger fleets, so that few of their writes meet.
	memberInterval = 100 * time.Millisecond
	// drawPause bounds urgent draws. Requests wait for one, so that it is below what they wait.
	drawPause = 200 * time.Millisecond
	// callTimeout bounds one call to the store, which answers in milliseconds when it is well.
	callTimeout = 800 * time.Millisecond
	// conflictTries is how often a change is planned again after another instance's write.
	conflictTries = 6
)

// Members tells which instances share the accounts.
type Members interface {
	// Size is the number of instances that take callers.
	Size() int
	// Live reports whether an incarnation is listed.
	Live(holder laceunit.Holder) bool
	// Ended reports whether an incarnation is known to be gone for good.
	Ended(holder laceunit.Holder) bool
}

// Options configure a quota service.
type Options struct {
	Self    laceunit.Holder
	Store   laceplatform.Store
	Prefix  laceplatform.Key
	Shards  int
	Share   float64
	Members Members
	// Clock tells the machine's time; without one nothing of an ended process is got back.
	Clock func() Instant
	// Settle is how long little is held after the first configuration. When all instances start together, the first ones
	// would otherwise take the parts of those that are not listed yet.
	Settle  time.Duration
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service reserves tokens for requests and draws on the store in the background.
type Service struct {
	options Options
	wake    []chan struct{}

	mu     sync.Mutex
	wallet *Wallet
	shards [][]laceunit.AccountID
	// known are the accounts of the shards.
	known map[laceunit.AccountID]bool
	// drawn is closed and replaced after each draw.
	drawn chan struct{}
	// keep is how much is held; it falls in a planned stop.
	keep Keep
	// standby is true while other instances take the callers.
	standby bool
	// configured is when the first configuration came.
	configured time.Time
	// asked is when tokens were last asked for.
	asked time.Time
	// contact is when the store last answered a draw.
	contact time.Time
}

// New returns a quota service; Serve must run.
func New(options Options) *Service {
	options.Shards = max(options.Shards, 1)
	if options.Clock == nil {
		options.Clock = func() Instant { return Instant{} }
	}
	if options.Share <= 0 {
		options.Share = DefaultShare
	}
	s := &Service{
		options: options,
		wallet:  NewWallet(options.Self, options.Share, options.Clock()),
		shards:  make([][]laceunit.AccountID, options.Shards),
		known:   map[laceunit.AccountID]bool{},
		drawn:   make(chan struct{}),
	}
	for range options.Shards {
		s.wake = append(s.wake, make(chan struct{}, 1))
	}
	return s
}

// Configure takes over what the accounts have paid.
func (s *Service) Configure(t *laceroute.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configured.IsZero() {
		s.configured = time.Now()
	}
	for _, a := range t.Accounts() {
		if !s.known[a.ID] {
			s.known[a.ID] = true
			i := s.shard(a.ID)
			s.shards[i] = append(s.shards[i], a.ID)
		}
		s.wallet.Paid(a.ID, a.Paid, a.Prepaid, t.Version())
	}
	for i := range s.shards {
		s.rouse(i)
	}
}

// Reserve sets tokens aside. When the cap is short and the store is well, it waits for one draw, at most until the
// context ends.
func (s *Service) Reserve(ctx context.Context, account laceunit.AccountID, most laceunit.Tokens) (Verdict, State) {
	for {
		s.mu.Lock()
		now := time.Now()
		s.asked = now
		v := s.wallet.Reserve(now, s.options.Clock(), account, most)
		state := s.wallet.State(account)
		// Before the first answer the store counts as well: the first requests come with the first configuration.
		drawn, well := s.drawn, s.contact.IsZero() || now.Sub(s.contact) < contactFresh
		hopeful := v == Short && s.wallet.Hopeful(account)
		if hopeful {
			s.rouse(s.shard(account))
		}
		s.mu.Unlock()
		if !hopeful || !well {
			return v, state
		}
		select {
		case <-ctx.Done():
			return v, state
		case <-drawn:
		}
	}
}

// Asked returns when tokens were last asked for.
func (s *Service) Asked() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked
}

// contactFresh is the age of the last answered draw up to which another one is worth a short wait.
const contactFresh = 3 * time.Second

// Settle ends a reservation with what was consumed.
func (s *Service) Settle(account laceunit.AccountID, most, consumed laceunit.Tokens) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wallet.Settle(account, most, consumed)
	if s.wallet.Urgent(s.options.Clock(), account) {
		s.rouse(s.shard(account))
	}
}

// Serve implements suture.Service: it draws for each shard until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	var group sync.WaitGroup
	for i := range s.shards {
		group.Add(1)
		go func() {
			defer group.Done()
			s.run(ctx, i)
		}()
	}
	group.Wait()
	return ctx.Err()
}

// Leave gives back most of what is neither spent nor reserved with the next draws, since callers are about to go
// elsewhere.
func (s *Service) Leave() { s.lower(KeepLittle) }

// StandBy tells whether other instances take the callers. Then nothing is held but what single requests need.
func (s *Service) StandBy(standby bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = standby
	if !standby {
		return
	}
	for i := range s.shards {
		s.rouse(i)
	}
}

func (s *Service) lower(keep Keep) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = keep
	for i := range s.shards {
		s.rouse(i)
	}
}

// Release gives back what is neither spent nor reserved and waits for it, at the end of a planned stop.
func (s *Service) Release(ctx context.Context) error {
	s.lower(KeepNothing)
	var first error
	for i := range s.shards {
		if err := s.draw(ctx, i); err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (s *Service) run(ctx context.Context, shard int) {
	// Instances that start together would otherwise write at the same moments for ever.
	timer := time.NewTimer(rand.N(reportInterval / 4))
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake[shard]:
			if wait := drawPause - time.Since(last); !last.IsZero() && wait > 0 && !lacekernel.Sleep(ctx, wait) {
				return
			}
		case <-timer.C:
		}
		if s.serves(shard) {
			last = time.Now()
			if err := s.draw(ctx, shard); err != nil && ctx.Err() == nil {
				s.options.Log.Fault(err, "budgets were not drawn", lacelog.P(lacelog.Age, s.silence().Milliseconds()))
				s.options.Metrics.failed()
			}
		}
		interval := max(reportInterval, memberInterval*time.Duration(s.options.Members.Size()))
		timer.Reset(interval*3/4 + rand.N(interval/2))
	}
}

func (s *Service) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.contact)
}

// serves reports whether there is anything to draw or to report for the shard.
func (s *Service) serves(shard int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.standby && s.wallet.Idle(s.shards[shard]) {
		return false
	}
	return len(s.shards[shard]) > 0
}

// keeping returns how much is held now; the lock must be held.
func (s *Service) keeping() Keep {
	switch {
	case s.standby:
		return max(s.keep, KeepWanted)
	case time.Since(s.configured) < s.options.Settle:
		return max(s.keep, KeepLittle)
	default:
		return s.keep
	}
}

// draw reads the shard's page and writes it with this instance's new caps.
func (s *Service) draw(ctx context.Context, shard int) error {
	key := s.options.Prefix + laceplatform.Key(strconv.Itoa(shard))
	entry, err := s.read(ctx, key)
	for range conflictTries {
		if err != nil {
			return err
		}
		var page Page
		if page, err = Decode(entry.Value); err != nil {
			return err
		}
		plan, value, encodeErr := s.plan(page, shard)
		if encodeErr != nil {
			return encodeErr
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		_, err = s.options.Store.Swap(call, laceplatform.Swap{
			Key:    key,
			Value:  value,
			Expect: entry.Revision,
		})
		cancel()
		if err == nil {
			s.commit(plan, shard)
			return nil
		}
		if !errors.Is(err, laceplatform.ErrConflict) {
			return errors.Wrap(err, "quota: write page")
		}
		s.options.Metrics.conflicted()
		var conflict *laceplatform.Conflict
		if errors.As(err, &conflict) {
			entry, err = conflict.Entry, nil
			continue
		}
		entry, err = s.read(ctx, key)
	}
	return errors.Wrap(err, "quota: page changed too often")
}

func (s *Service) read(ctx context.Context, key laceplatform.Key) (laceplatform.Entry, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := s.options.Store.Get(call, key)
	if errors.Is(err, laceplatform.ErrMissing) {
		return laceplatform.Entry{Key: key}, nil
	}
	return entry, errors.Wrap(err, "quota: read page")
}

func (s *Service) plan(page Page, shard int) (Draw, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.wallet.Plan(time.Now(), s.options.Clock(), page, s.shards[shard], Fleet{
		Members: s.options.Members.Size(),
		Live:    s.options.Members.Live,
		Ended:   s.options.Members.Ended,
	}, s.keeping())
	value, err := Encode(d.Page)
	return d, value, err
}

func (s *Service) commit(d Draw, shard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.wallet.Commit(now, d)
	s.contact = now
	close(s.drawn)
	s.drawn = make(chan struct{})
	for _, a := range s.shards[shard] {
		x := s.wallet.State(a)
		s.options.Metrics.observe(a, x)
		s.options.Log.Write(lacelog.Draw, lacelog.P(lacelog.Account, a), lacelog.P("paid", x.Paid), lacelog.P(lacelog.Cap, x.Cap),
			lacelog.P(lacelog.Used, x.Used), lacelog.P(lacelog.Held, x.Reserved), lacelog.P("others", x.Others),
			lacelog.P("lost", x.Lost), lacelog.P("free", x.Free))
	}
}

// rouse makes the shard's loop draw soon.
func (s *Service) rouse(shard int) {
	select {
	case s.wake[shard] <- struct{}{}:
	default:
		// It will run anyway.
	}
}

func (s *Service) shard(account laceunit.AccountID) int {
	h := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = h.Write([]byte(account))
	return int(h.Sum32() % uint32(len(s.shards)))
}
