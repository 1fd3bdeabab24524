package lacejournal

import (
	"slices"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Limits bound the memory of a book; zero values take the defaults.
type Limits struct {
	// OwnBytes bounds the own entries, 16 MiB by default.
	OwnBytes int
	// CopyBytes bounds the copies of other instances' entries, 32 MiB by default.
	CopyBytes int
}

// Quorum says which copies an entry needs before its call is sent, and again before its end marker leaves.
type Quorum struct {
	// Copies is how many copy holders are needed.
	Copies int
	// Witnesses are those named in the grant. At least one of them must have the entry: their seals decide what is
	// left of a dead holder's grant.
	Witnesses []laceunit.Holder
}

type own struct {
	entry   Entry
	quorum  Quorum
	version int
	acks    map[laceunit.Holder]bool
	// sent holds every holder that may have a copy of any version.
	sent    map[laceunit.Holder]bool
	flushed int
	stuck   bool
}

type copied struct {
	entry   Entry
	version int
	flushed int
	stuck   bool
}

type copyKey struct {
	owner   laceunit.Holder
	request laceledger.Request
}

// Book is the state of the journal. Its methods must not be called concurrently.
type State struct {
	limits    Limits
	own       map[laceledger.Request]*own
	ownBytes  int
	serial    uint64
	copies    map[copyKey]*copied
	copyBytes int
	sealed    map[laceunit.Holder]bool
}

// NewBook returns an empty book.
func NewState(limits Limits) *State {
	if limits.OwnBytes <= 0 {
		limits.OwnBytes = 16 << 20
	}
	if limits.CopyBytes <= 0 {
		limits.CopyBytes = 32 << 20
	}
	return &State{
		limits: limits,
		own:    map[laceledger.Request]*own{},
		copies: map[copyKey]*copied{},
		sealed: map[laceunit.Holder]bool{},
	}
}

// Start adds an own entry and returns it with its serial. It must be copied before the call is sent.
func (b *State) Start(entry Entry, quorum Quorum) (VersionedEntry, error) {
	request := entry.Record.Request
	if b.own[request] != nil {
		return VersionedEntry{}, ErrAlreadyStarted
	}
	if b.ownBytes+entry.size()+laceledger.MaxResponseBytes > b.limits.OwnBytes {
		return VersionedEntry{}, ErrFull
	}
	b.serial++
	entry.Serial = b.serial
	b.own[request] = &own{
		entry:   entry,
		quorum:  quorum,
		version: 1,
		acks:    map[laceunit.Holder]bool{},
		sent:    map[laceunit.Holder]bool{},
	}
	b.ownBytes += entry.size()
	return VersionedEntry{
		Entry:   entry,
		Version: 1,
	}, nil
}

// Update replaces the record of an own entry by one with another attempt, or by the finished one.
func (b *State) Update(record laceledger.Offline) (VersionedEntry, error) {
	o := b.own[record.Request]
	if o == nil {
		return VersionedEntry{}, ErrNotFound
	}
	entry := o.entry
	entry.Record = record
	if !entry.newer(o.entry) {
		return VersionedEntry{}, ErrAlreadyStarted
	}
	b.ownBytes += entry.size() - o.entry.size()
	o.entry = entry
	o.version++
	o.stuck = false
	clear(o.acks)
	return VersionedEntry{
		Entry:   entry,
		Version: o.version,
	}, nil
}

// Sending notes that a copy is on its way; only these holders need to be told to drop it.
func (b *State) MarkSent(request laceledger.Request, to laceunit.Holder) {
	if o := b.own[request]; o != nil {
		o.sent[to] = true
	}
}

// Copied notes that a copy holder has a version and reports whether the version now has all copies that it needs.
func (b *State) Acknowledge(pending VersionedEntry, by laceunit.Holder) bool {
	o := b.own[pending.Entry.Record.Request]
	if o == nil || o.version != pending.Version || o.entry.Serial != pending.Entry.Serial {
		return false
	}
	o.acks[by] = true
	return o.safe()
}

func (o *own) safe() bool {
	return len(o.acks) >= max(o.quorum.Copies, 1) &&
		slices.ContainsFunc(o.quorum.Witnesses, func(w laceunit.Holder) bool { return o.acks[w] })
}

// Abandon drops an own entry whose call was certainly not sent and returns it with the holders that may have copies.
func (b *State) Abandon(request laceledger.Request) (Entry, []laceunit.Holder) {
	o := b.own[request]
	if o == nil {
		return Entry{}, nil
	}
	b.ownBytes -= o.entry.size()
	delete(b.own, request)
	return o.entry, holdersOf(o.sent)
}

// Targets returns the holders that have or may have copies of an own entry.
func (b *State) CopyHolders(request laceledger.Request) []laceunit.Holder {
	if o := b.own[request]; o != nil {
		return holdersOf(o.sent)
	}
	return nil
}

// Find returns an own entry.
func (b *State) Find(request laceledger.Request) (Entry, bool) {
	if o := b.own[request]; o != nil {
		return o.entry, true
	}
	return Entry{}, false
}

// Pending is one entry for the ledger with its version.
type VersionedEntry struct {
	Entry   Entry
	Version int
	copied  bool
}

// Unflushed returns own entries that the ledger lacks, at most limit of them. An entry is submitted only once it has
// its copies: without them its call was not sent.
func (b *State) Unflushed(limit int) []VersionedEntry {
	var list []VersionedEntry
	for _, o := range b.own {
		if len(list) == limit {
			break
		}
		if !o.stuck && o.flushed < o.version && (o.safe() || o.version > 1) {
			list = append(list, VersionedEntry{
				Entry:   o.entry,
				Version: o.version,
			})
		}
	}
	return sorted(list)
}

// Flushed notes the ledger's verdict. The request is known to the ledger from then on; a finished entry is dropped,
// and its copy holders are returned so that they can drop theirs.
func (b *State) ApplyVerdict(pending VersionedEntry, result laceledger.Result) (done bool, holders []laceunit.Holder) {
	if pending.copied {
		b.copyFlushed(pending, result)
		return known(result), nil
	}
	request := pending.Entry.Record.Request
	o := b.own[request]
	if o == nil {
		return false, nil
	}
	if !known(result) {
		o.stuck = o.version == pending.Version
		return false, nil
	}
	o.flushed = max(o.flushed, pending.Version)
	if o.flushed == o.version && o.entry.Record.Finished {
		b.ownBytes -= o.entry.size()
		delete(b.own, request)
		holders = holdersOf(o.sent)
	}
	return true, holders
}

// Counts returns the number of own entries and of copies.
func (b *State) Counts() (entries, copies int) {
	return len(b.own), len(b.copies)
}

// Stuck returns the number of entries that the ledger refuses.
func (b *State) RejectedCount() int {
	n := 0
	for _, o := range b.own {
		if o.stuck {
			n++
		}
	}
	for _, c := range b.copies {
		if c.stuck {
			n++
		}
	}
	return n
}

// Retry gives the entries that the ledger has refused another chance, after an operator has acted.
func (b *State) RetryRejected() {
	for _, o := range b.own {
		o.stuck = false
	}
	for _, c := range b.copies {
		c.stuck = false
	}
}
