package lacestream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacekernel"
	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

const (
	// memory is how long a version counts after its last server has left, and how long an interrupted stream is
	// remembered. It is longer than clients wait for an answer.
	memory = 2 * time.Minute
	// writeInterval is how often new streams are noted in the store. What began since then is lost with the instance.
	writeInterval = 100 * time.Millisecond
	// memberInterval lengthens that and the interval of reads in large fleets, by this much for each member.
	memberInterval = 5 * time.Millisecond
	// expireInterval is how often streams that can't be taken up any more are dropped.
	expireInterval = time.Second
	// callTimeout bounds a write, readTimeout a read, for which a client waits.
	callTimeout = 600 * time.Millisecond
	readTimeout = 300 * time.Millisecond
	// memberReadSpacing is the minimum time between two reads of the versions, for each member. When all instances are
	// killed at once, all streams of the fleet are taken up within about a second.
	memberReadSpacing = time.Millisecond
	// retryDelay is the wait after a failed write.
	retryDelay = time.Second
	// leaseRenewal is how often the lease of the notes is renewed. Notes outlive their instance by at least memory.
	leaseRenewal = memory / 2
	leaseTTL     = memory + leaseRenewal
	// maxRecordDelay bounds the wait before a version is recorded or its record is removed. Every instance could do it, and
	// each has a wait of its own.
	maxRecordDelay = 300 * time.Millisecond
	// restorePeriod is how long after the restoration of the store from a backup its records may lack versions that were
	// in service before: servers write their entries again each 1.2 s, and instances whose copies are up to 2.5 s old
	// record the versions, in a second attempt if a response is lost.
	restorePeriod = 5 * time.Second
)

// Options configure a service.
type Options struct {
	Self  laceunit.Holder
	Store laceplatform.Store
	Keys  Keys
	// Current reports whether this instance's copies of the servers and of the recorded versions are up to date.
	Current func() bool
	// Members returns the number of instances.
	Members func() int
	// Era returns the latest era of the store in any response; nil means that the store is never restored.
	Era func() laceplatform.Era
	// Clock returns the time; nil means time.Now.
	Clock func() time.Time
	// Sleep waits for a duration or until a context ends; nil means lacekernel.Sleep.
	Sleep   func(ctx context.Context, d time.Duration) bool
	Log     *lacelog.Logger
	Metrics *Metrics
}

// Service knows the software versions of streams.
type Service struct {
	options Options

	mu       sync.Mutex
	versions versions
	notes    notes
	// changed is true when there are streams that are not noted in the store.
	changed   bool
	expiredAt time.Time
	// recordAt is when the records of versions may be changed next.
	recordAt time.Time
	// era is the latest known era of the store, eraAt is since when it is known, restored is true if this instance has
	// known an earlier one.
	era      laceplatform.Era
	eraAt    time.Time
	restored bool

	// lease, leaseAt, written and writeAt belong to the writer: the lease of the notes, when it was granted or renewed,
	// the revision of the notes, and when they may be written next.
	lease   laceplatform.LeaseID
	leaseAt time.Time
	written laceplatform.Revision
	writeAt time.Time

	// reading protects the streams that other instances have noted, as of readAt. Reads exclude each other.
	reading sync.Mutex
	noted   map[streamKey]laceunit.SoftwareVersion
	readAt  time.Time

	// versionReads are the reads of the recorded versions, recordWrites the writes of records that streams wait for.
	versionReads sharedCalls[map[laceunit.ServiceID]recordedSet]
	recordWrites sharedCalls[map[ServiceVersion]bool]
	// versionsReadAt is when the latest read of the recorded versions began.
	versionsReadAt time.Time
}

// New returns a service; the caller must run Serve.
func New(options Options) *Service {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Sleep == nil {
		options.Sleep = lacekernel.Sleep
	}
	if options.Era == nil {
		options.Era = func() laceplatform.Era { return 0 }
	}
	return &Service{
		options: options,
		versions: versions{
			serving:      map[ServiceVersion]bool{},
			recorded:     map[ServiceVersion]recordedVersion{},
			acknowledged: map[ServiceVersion]bool{},
			lost:         map[ServiceVersion]bool{},
		},
		notes: notes{byKey: map[streamKey]*note{}},
	}
}

// SetServing sets the software versions of the registered servers. The map must not be changed afterwards.
func (s *Service) SetServing(serving map[ServiceVersion]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if maps.Equal(serving, s.versions.serving) {
		return
	}
	s.versions.serving = serving
	s.versions.observeAbsence(s.options.Clock())
	s.changed = true
}

// ApplyEntry applies the record of a version in the store, or its removal.
func (s *Service) ApplyEntry(e laceplatform.Entry, removed bool) error {
	v, era, err := decodeVersion(e.Value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		s.versions.remove(s.options.Clock(), v)
		return nil
	}
	s.versions.record(v, recordedVersion{
		revision: e.Revision,
		era:      era,
	})
	s.versions.observeAbsence(s.options.Clock())
	s.changed = true
	return nil
}

// Begin records that a server of a version has written an event of a stream, before the event is passed on. It returns
// false if the version is not recorded in the store and can't be, and otherwise must be followed by End. Only for the
// first streams of a version it calls the store, and may then take 1.2 s.
func (s *Service) Begin(
	ctx context.Context, service laceunit.ServiceID, id laceunit.AttemptID, version laceunit.SoftwareVersion,
) bool {
	if !s.ensureRecorded(ctx, ServiceVersion{
		Service: service,
		Version: version,
	}) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes.begin(newStreamKey(service, id), service, version)
	s.changed = true
	return true
}

// End records that a request for a stream has ended, and whether the stream was sent to its end.
func (s *Service) End(service laceunit.ServiceID, id laceunit.AttemptID, complete bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notes.end(s.options.Clock(), newStreamKey(service, id), complete)
}

// Find returns the software version of a stream, given the attempt that began it, and false if it is not known. Unless
// this instance has served the stream, it reads the store, for at most 900 ms.
func (s *Service) Find(
	ctx context.Context, service laceunit.ServiceID, id laceunit.AttemptID,
) (laceunit.SoftwareVersion, bool) {
	key := newStreamKey(service, id)
	s.mu.Lock()
	version, found := s.notes.find(key)
	several := len(s.versions.of(service)) > 1
	s.mu.Unlock()
	way := foundHere
	if !found && !several {
		version, found, several = s.findOnly(ctx, service)
		way = foundSingle
	}
	if !found && several {
		version, found = s.findNoted(ctx, key)
		way = foundInStore
	}
	if !found {
		way = notFound
	}
	s.options.Metrics.countTakeUp(way)
	return version, found
}

// RetryAfter returns when the version of a stream that is not known may be known.
func (s *Service) RetryAfter() time.Duration { return s.interval() + writeInterval }

// interval returns the interval of writes, and the least one of reads.
func (s *Service) interval() time.Duration {
	return max(writeInterval, time.Duration(s.options.Members())*memberInterval)
}

// findNoted returns the version of a stream that any instance has noted in the store.
func (s *Service) findNoted(ctx context.Context, key streamKey) (laceunit.SoftwareVersion, bool) {
	s.reading.Lock()
	defer s.reading.Unlock()
	now := s.options.Clock()
	v, ok := s.noted[key]
	if ok || now.Sub(s.readAt) < s.interval() {
		return v, ok
	}
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, _, err := s.options.Store.List(callCtx, s.options.Keys.Streams)
	if err != nil {
		// Those that wait for the lock are refused without a call of their own.
		s.readAt = s.options.Clock()
		return "", false
	}
	s.readAt = now
	noted := map[streamKey]laceunit.SoftwareVersion{}
	for _, e := range entries {
		if err := decodeStreams(e.Value, noted); err != nil {
			s.options.Log.Error(err, "failed to read noted streams", lacelog.P("key", e.Key))
		}
	}
	s.noted = noted
	v, ok = noted[key]
	return v, ok
}

// Serve implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	return lacekernel.RunEvery(ctx, writeInterval, s.step)
}

func (s *Service) step(ctx context.Context) {
	now := s.options.Clock()
	if value, ok := s.pendingNotes(now); ok {
		err := s.writeNotes(ctx, now, value)
		s.options.Metrics.countWrite("streams", err)
		s.writeAt = now.Add(s.interval())
		if err != nil {
			s.writeAt = now.Add(retryDelay)
			s.mu.Lock()
			s.changed = true
			s.mu.Unlock()
		}
	}
	s.recordVersions(ctx, now)
}

// pendingNotes returns the notes to write, and false if there is nothing new or only one version is in service.
func (s *Service) pendingNotes(now time.Time) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.expiredAt) >= expireInterval {
		s.notes.expire(now)
		s.expiredAt = now
	}
	if !s.changed || now.Before(s.writeAt) {
		return nil, false
	}
	s.changed = false
	several := s.versions.several()
	if len(several) == 0 {
		return nil, false
	}
	streams := s.notes.stored(several)
	if len(streams) == 0 {
		return nil, false
	}
	value, err := encodeStreams(streams)
	if err != nil {
		s.options.Log.Error(err, "failed to encode streams")
	}
	return value, err == nil
}

// writeNotes writes the notes of this instance under a lease that outlives it.
func (s *Service) writeNotes(ctx context.Context, now time.Time, value []byte) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch {
	case s.lease == 0:
		s.lease, err = s.options.Store.Lease(callCtx, leaseTTL)
		s.leaseAt = now
	case now.Sub(s.leaseAt) >= leaseRenewal:
		err = s.options.Store.Renew(callCtx, s.lease)
		s.leaseAt = now
	}
	if err == nil {
		s.written, err = laceplatform.Overwrite(callCtx, s.options.Store, laceplatform.Swap{
			Key:    s.options.Keys.streamsKey(s.options.Self),
			Value:  value,
			Expect: s.written,
			Lease:  s.lease,
		})
	}
	if errors.Is(err, laceplatform.ErrLeaseNotFound) {
		s.lease, s.written = 0, 0
	}
	return errors.Wrap(err, "stream: write notes")
}
