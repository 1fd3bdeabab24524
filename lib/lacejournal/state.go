package lacejournal

import (
	"slices"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Limits are the memory limits of the journal; zero values select the defaults.
type Limits struct {
	// OwnBytes limits this instance's own entries; the default is 16 MiB.
	OwnBytes int
	// CopyBytes limits the copies of other instances' entries; the default is 32 MiB.
	CopyBytes int
}

// Quorum defines which copies an entry needs before the call to the backend server is sent, and again before the end
// marker of the response is sent.
type Quorum struct {
	// Copies is the number of copy holders that must acknowledge the entry.
	Copies int
	// Witnesses are the witnesses of the grant. At least one of them must have the entry, because the grant of a dead
	// holder is released based on the copies of its sealed witnesses.
	Witnesses []laceunit.Holder
}

type ownEntry struct {
	entry   Entry
	quorum  Quorum
	version int
	acks    map[laceunit.Holder]bool
	// sentTo holds every holder that may have a copy of any version.
	sentTo         map[laceunit.Holder]bool
	flushedVersion int
	rejected       bool
}

type copiedEntry struct {
	entry          Entry
	version        int
	flushedVersion int
	rejected       bool
}

type copyKey struct {
	owner   laceunit.Holder
	request laceledger.Request
}

// State is the state of the journal. Its methods must not be called concurrently.
type State struct {
	limits    Limits
	own       map[laceledger.Request]*ownEntry
	ownBytes  int
	serial    uint64
	copies    map[copyKey]*copiedEntry
	copyBytes int
	sealed    map[laceunit.Holder]bool
}

// NewState returns the state of an empty journal.
func NewState(limits Limits) *State {
	if limits.OwnBytes <= 0 {
		limits.OwnBytes = 16 << 20
	}
	if limits.CopyBytes <= 0 {
		limits.CopyBytes = 32 << 20
	}
	return &State{
		limits: limits,
		own:    map[laceledger.Request]*ownEntry{},
		copies: map[copyKey]*copiedEntry{},
		sealed: map[laceunit.Holder]bool{},
	}
}

// Start adds an own entry and returns it with its serial. Its quorum must acknowledge it before the call is sent.
func (s *State) Start(entry Entry, quorum Quorum) (VersionedEntry, error) {
	request := entry.Record.Request
	if s.own[request] != nil {
		return VersionedEntry{}, ErrAlreadyStarted
	}
	if s.ownBytes+entry.size()+laceledger.MaxResponseBytes > s.limits.OwnBytes {
		return VersionedEntry{}, ErrFull
	}
	s.serial++
	entry.Serial = s.serial
	s.own[request] = &ownEntry{
		entry:   entry,
		quorum:  quorum,
		version: 1,
		acks:    map[laceunit.Holder]bool{},
		sentTo:  map[laceunit.Holder]bool{},
	}
	s.ownBytes += entry.size()
	return VersionedEntry{
		Entry:   entry,
		Version: 1,
	}, nil
}

// Update replaces the record of an own entry with that of another attempt or of the finished request.
func (s *State) Update(record laceledger.Offline) (VersionedEntry, error) {
	o := s.own[record.Request]
	if o == nil {
		return VersionedEntry{}, ErrNotFound
	}
	entry := o.entry
	entry.Record = record
	if !entry.supersedes(o.entry) {
		return VersionedEntry{}, ErrAlreadyStarted
	}
	s.ownBytes += entry.size() - o.entry.size()
	o.entry = entry
	o.version++
	o.rejected = false
	clear(o.acks)
	return VersionedEntry{
		Entry:   entry,
		Version: o.version,
	}, nil
}

// MarkSent records that a copy is sent to a holder; only these holders need a notification to drop it.
func (s *State) MarkSent(request laceledger.Request, to laceunit.Holder) {
	if o := s.own[request]; o != nil {
		o.sentTo[to] = true
	}
}

// Acknowledge records that a copy holder has a version of an entry, and reports whether the current version has its
// quorum of copies. It returns false for an outdated version.
func (s *State) Acknowledge(v VersionedEntry, by laceunit.Holder) bool {
	o := s.own[v.Entry.Record.Request]
	if o == nil || o.version != v.Version || o.entry.Serial != v.Entry.Serial {
		return false
	}
	o.acks[by] = true
	return o.hasQuorum()
}

func (o *ownEntry) hasQuorum() bool {
	return len(o.acks) >= max(o.quorum.Copies, 1) &&
		slices.ContainsFunc(o.quorum.Witnesses, func(w laceunit.Holder) bool { return o.acks[w] })
}

// Abandon deletes an own entry whose call was definitely not sent, and returns it with the holders that may have
// copies.
func (s *State) Abandon(request laceledger.Request) (Entry, []laceunit.Holder) {
	o := s.own[request]
	if o == nil {
		return Entry{}, nil
	}
	s.ownBytes -= o.entry.size()
	delete(s.own, request)
	return o.entry, sortedHolders(o.sentTo)
}

// CopyHolders returns the holders that may have copies of an own entry.
func (s *State) CopyHolders(request laceledger.Request) []laceunit.Holder {
	if o := s.own[request]; o != nil {
		return sortedHolders(o.sentTo)
	}
	return nil
}

// Find returns an own entry.
func (s *State) Find(request laceledger.Request) (Entry, bool) {
	if o := s.own[request]; o != nil {
		return o.entry, true
	}
	return Entry{}, false
}

// VersionedEntry is an entry that has to be copied or submitted to the ledger, with its local version.
type VersionedEntry struct {
	Entry   Entry
	Version int
	isCopy  bool
}

// Unflushed returns at most limit own entries that are not in the ledger yet. The first version of an entry is
// submitted only if it has its quorum of copies: without it the call was not sent.
func (s *State) Unflushed(limit int) []VersionedEntry {
	var list []VersionedEntry
	for _, o := range s.own {
		if len(list) == limit {
			break
		}
		if !o.rejected && o.flushedVersion < o.version && (o.hasQuorum() || o.version > 1) {
			list = append(list, VersionedEntry{
				Entry:   o.entry,
				Version: o.version,
			})
		}
	}
	return sortByRequest(list)
}

// ApplyVerdict applies the ledger's verdict on an entry and reports whether the ledger has the request. A finished
// entry is then deleted, and its copy holders are returned so that they can drop their copies.
func (s *State) ApplyVerdict(v VersionedEntry, result laceledger.Result) (recorded bool, holders []laceunit.Holder) {
	if v.isCopy {
		s.applyCopyVerdict(v, result)
		return isRecorded(result), nil
	}
	request := v.Entry.Record.Request
	o := s.own[request]
	if o == nil {
		return false, nil
	}
	if !isRecorded(result) {
		o.rejected = o.version == v.Version
		return false, nil
	}
	o.flushedVersion = max(o.flushedVersion, v.Version)
	if o.flushedVersion == o.version && o.entry.Record.Finished {
		s.ownBytes -= o.entry.size()
		delete(s.own, request)
		holders = sortedHolders(o.sentTo)
	}
	return true, holders
}

// Counts returns the number of own entries and of copies.
func (s *State) Counts() (entries, copies int) {
	return len(s.own), len(s.copies)
}

// RejectedCount returns the number of own entries and copies that the ledger has rejected.
func (s *State) RejectedCount() int {
	n := 0
	for _, o := range s.own {
		if o.rejected {
			n++
		}
	}
	for _, c := range s.copies {
		if c.rejected {
			n++
		}
	}
	return n
}

// RetryRejected submits rejected entries again with the next flush, after an operator has resolved the cause.
func (s *State) RetryRejected() {
	for _, o := range s.own {
		o.rejected = false
	}
	for _, c := range s.copies {
		c.rejected = false
	}
}
