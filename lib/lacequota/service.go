package lacequota

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// memberInterval is the interval for each active instance in larger fleets, so that few of their writes meet, and
	// mostInterval bounds it: a process that is killed gets back what it held if its last report is within Patience.
	memberInterval = 140 * time.Millisecond
	mostInterval   = 2500 * time.Millisecond
	// drawPause bounds urgent draws. Requests wait for one, so that it is below what they wait.
	drawPause = 200 * time.Millisecond
	// callTimeout bounds one call to the store, which answers in milliseconds when it is well. The pages that it sends, and gets
	// back when others were first, have further time by their size: linkRate is what a connection among many gets of a link of
	// 10 Mbit/s, in bytes a second.
	callTimeout = 800 * time.Millisecond
	linkRate    = 30 << 10
	// conflictTries is how often a change is planned again after another instance's write.
	conflictTries = 6
	// drawAccounts is how many accounts one call changes; the store takes 32 entries, of which an account needs two.
	drawAccounts = 16
)

// Members tells which instances share the accounts.
type Members interface {
	// Size is the number of instances that take callers.
	Size() int
	// Reserves reports whether others stand by.
	Reserves() bool
	// Active reports whether this instance is one of them.
	Active() bool
	// Live reports whether an incarnation is listed.
	Live(holder laceunit.Holder) bool
	// Ended reports whether an incarnation is known to be gone for good.
	Ended(holder laceunit.Holder) bool
}

// Options configure a quota service.
type Options struct {
	Self  laceunit.Holder
	Store laceplatform.Batcher
	// Prefix is where the accounts' pages stand.
	Prefix  laceplatform.Key
	Share   float64
	Members Members
	// Lender reaches the other instances; without one nothing is borrowed.
	Lender Lender
	// Clock tells the machine's time; without one nothing of an ended process is got back.
	Clock func() Instant
	// Settle is how long little is held after the first configuration. When all instances start together, the first ones
	// would otherwise take the parts of those that are not listed yet.
	WarmUp  time.Duration
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service reserves tokens for requests and draws on the store in the background.
type Service struct {
	options Options
	wake    chan struct{}

	mu     sync.Mutex
	wallet *Wallet
	// pages are the accounts' pages as this instance last saw them.
	pages map[laceunit.AccountID]page
	// loans are those under way, refused is when nobody could spare tokens of an account.
	loans   map[laceunit.AccountID]*loan
	refused map[laceunit.AccountID]time.Time
	// drawn is closed and replaced after each draw.
	drawn chan struct{}
	// failing is true while the last call to the store has failed.
	failing bool
	// keep is how much is held; it falls in a planned stop.
	keep HeadroomPolicy
	// standby is true while other instances take the callers.
	standby bool
	// configured is when the first configuration came.
	configured time.Time
	// asked is when tokens were last asked for.
	asked time.Time
	// contact is when the store last answered a draw.
	contact time.Time
}

// page is an account's page and the revision at which it was seen.
type page struct {
	budget   Budget
	revision laceplatform.Revision
}

// New returns a quota service; Serve must run.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = func() Instant { return Instant{} }
	}
	if options.Share <= 0 {
		options.Share = DefaultShare
	}
	return &Service{
		options: options,
		wake:    make(chan struct{}, 1),
		wallet:  NewWallet(options.Self, options.Share, options.Clock()),
		pages:   map[laceunit.AccountID]page{},
		loans:   map[laceunit.AccountID]*loan{},
		refused: map[laceunit.AccountID]time.Time{},
		drawn:   make(chan struct{}),
	}
}

// Configure takes over what the accounts have paid.
func (s *Service) Configure(t *laceroute.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configured.IsZero() {
		s.configured = time.Now()
	}
	for _, a := range t.Accounts() {
		s.wallet.SetPaid(a.ID, a.Paid, a.Prepaid, t.Version())
	}
	s.rouse()
}

// Reserve sets tokens aside. When the cap is short, it waits for a draw if the store is well and may bring more, and
// otherwise for a loan of another instance, at most until the context ends.
func (s *Service) Reserve(ctx context.Context, account laceunit.AccountID, most laceunit.Tokens) (Verdict, State) {
	reserve := s.wallet.Reserve
	for {
		s.mu.Lock()
		now := time.Now()
		s.asked = now
		v := reserve(now, s.options.Clock(), account, most)
		reserve = s.wallet.RetryReserve
		state := s.wallet.State(account)
		// Before the first answer the store counts as well: the first requests come with the first configuration.
		drawn, well := s.drawn, !s.failing && (s.contact.IsZero() || now.Sub(s.contact) < contactFresh)
		hopeful := v == Insufficient && s.wallet.CanGrow(account)
		if hopeful {
			s.rouse()
		}
		s.mu.Unlock()
		if v != Insufficient {
			return v, state
		}
		if !hopeful || !well {
			if s.borrow(ctx, account, most) {
				continue
			}
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
func (s *Service) LastReserve() time.Time {
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
		s.rouse()
	}
}

// Serve implements suture.Service: it draws until the context ends.
func (s *Service) Serve(ctx context.Context) error {
	// Instances that start together would otherwise write at the same moments for ever.
	timer := time.NewTimer(rand.N(reportInterval / 4))
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-s.wake:
			if wait := drawPause - time.Since(last); !last.IsZero() && wait > 0 && !lacekernel.Sleep(ctx, wait) {
				return ctx.Err()
			}
		case <-timer.C:
		}
		interval := min(max(reportInterval, memberInterval*time.Duration(s.options.Members.Size())), mostInterval)
		last = time.Now()
		if err := s.drawAll(ctx, interval/2); err != nil && ctx.Err() == nil {
			s.fail()
			s.options.Log.Fault(err, "budgets were not drawn", lacelog.P(lacelog.Age, s.silence().Milliseconds()))
			s.options.Metrics.failed()
		}
		timer.Reset(interval*3/4 + rand.N(interval/2))
	}
}

// Leave gives back most of what is neither spent nor reserved with the next draws, since callers are about to go
// elsewhere.
func (s *Service) Drain() { s.lower(HeadroomMinimal) }

// StandBy tells whether other instances take the callers. Then nothing is held but what single requests need.
func (s *Service) SetStandby(standby bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standby = standby
	s.rouse()
}

func (s *Service) lower(keep HeadroomPolicy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keep = keep
	s.rouse()
}

// Release gives back what is neither spent nor reserved and waits for it, at the end of a planned stop.
func (s *Service) Release(ctx context.Context) error {
	s.lower(HeadroomNone)
	return s.drawAll(ctx, 0)
}

// fail lets waiting requests look elsewhere.
func (s *Service) fail() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failing = true
	s.wakeWaiting()
}

// wakeWaiting lets the requests that wait for a draw look again; the lock must be held.
func (s *Service) wakeWaiting() {
	close(s.drawn)
	s.drawn = make(chan struct{})
}

func (s *Service) silence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.contact)
}

// keeping returns how much is held now; the lock must be held.
func (s *Service) keeping() HeadroomPolicy {
	switch {
	case s.standby:
		return max(s.keep, HeadroomPending)
	case time.Since(s.configured) < s.options.WarmUp:
		return max(s.keep, HeadroomMinimal)
	case !s.options.Members.Active():
		return max(s.keep, HeadroomIfRequested)
	default:
		return s.keep
	}
}

// drawAll draws for the accounts that are due until a call fails. Those in need come first and by themselves, as a change
// of many pages meets more writes of other instances.
func (s *Service) drawAll(ctx context.Context, age time.Duration) error {
	s.mu.Lock()
	urgent, others := s.wallet.Due(time.Now(), s.options.Clock(), age, s.keeping())
	s.mu.Unlock()
	for _, accounts := range [][]laceunit.AccountID{urgent, others} {
		for part := range slices.Chunk(accounts, drawAccounts) {
			if err := s.draw(ctx, part); err != nil {
				return err
			}
		}
	}
	return nil
}

// draw writes the pages of some accounts with this instance's new caps. The pages are those that were seen last; when
// another instance has changed one, the store tells how they stand.
func (s *Service) draw(ctx context.Context, accounts []laceunit.AccountID) error {
	for range conflictTries {
		plan, swaps, err := s.plan(accounts)
		if err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, callTime(swaps))
		revision, err := s.options.Store.SwapAll(call, swaps)
		cancel()
		if err == nil {
			s.commit(plan, accounts, revision)
			return nil
		}
		if !errors.Is(err, laceplatform.ErrConflict) {
			return errors.Wrap(err, "quota: write pages")
		}
		s.options.Metrics.conflicted()
		conflict := &laceplatform.Conflict{}
		errors.As(err, &conflict)
		if err := s.learn(conflict, accounts); err != nil {
			return err
		}
	}
	return errors.New("quota: pages changed too often")
}

// callTime is how long a call may take that sends some pages.
func callTime(swaps []laceplatform.Swap) time.Duration {
	size := 0
	for _, x := range swaps {
		size += len(x.Value)
	}
	return callTimeout + time.Duration(size)*time.Second/linkRate
}

// learn takes in how the pages of some accounts stand. A page that can't be read is never written over.
func (s *Service) learn(conflict *laceplatform.Conflict, accounts []laceunit.AccountID) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range accounts {
		e := conflict.Entry(s.key(a))
		b, err := Decode(e.Value)
		if err != nil {
			return errors.Wrap(err, string(e.Key))
		}
		s.pages[a] = page{
			budget:   b,
			revision: e.Revision,
		}
	}
	return nil
}

func (s *Service) plan(accounts []laceunit.AccountID) (Update, []laceplatform.Swap, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	known := Budgets{ByAccount: make(map[laceunit.AccountID]Budget, len(accounts))}
	for _, a := range accounts {
		known.ByAccount[a] = s.pages[a].budget
	}
	d := s.wallet.Plan(time.Now(), s.options.Clock(), known, accounts, Fleet{
		ActiveCount: s.options.Members.Size(),
		HasStandby:  s.options.Members.Reserves(),
		Live:        s.options.Members.Live,
		Ended:       s.options.Members.Ended,
	}, s.keeping())
	swaps := make([]laceplatform.Swap, 0, len(accounts))
	for _, a := range accounts {
		value, err := Encode(d.Budgets.ByAccount[a])
		if err != nil {
			return d, nil, err
		}
		swaps = append(swaps, laceplatform.Swap{
			Key:    s.key(a),
			Value:  value,
			Expect: s.pages[a].revision,
		})
	}
	return d, swaps, nil
}

func (s *Service) commit(d Update, accounts []laceunit.AccountID, revision laceplatform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.wallet.Commit(now, d)
	s.contact, s.failing = now, false
	s.wakeWaiting()
	for _, a := range accounts {
		s.pages[a] = page{
			budget:   d.Budgets.ByAccount[a],
			revision: revision,
		}
		x := s.wallet.State(a)
		s.options.Metrics.observe(a, x)
		s.options.Log.Write(lacelog.Draw, lacelog.P(lacelog.Account, a), lacelog.P("paid", x.Paid), lacelog.P(lacelog.Cap, x.Cap),
			lacelog.P(lacelog.Used, x.Used), lacelog.P(lacelog.Held, x.Reserved), lacelog.P("others", x.OthersSpent),
			lacelog.P("lost", x.Lost), lacelog.P("free", x.Unallocated))
	}
}

// rouse makes the loop draw soon.
func (s *Service) rouse() {
	select {
	case s.wake <- struct{}{}:
	default:
		// It will run anyway.
	}
}

// key returns where an account's page stands.
func (s *Service) key(account laceunit.AccountID) laceplatform.Key {
	return s.options.Prefix + laceplatform.Key(account)
}
