package lacejournal

import (
	"cmp"
	"slices"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Accept stores a copy of another instance's entry. The copy holder is responsible for it until the owner confirms that
// the ledger has the entry.
func (s *State) Accept(entry Entry) error {
	key := copyKey{
		owner:   entry.Owner,
		request: entry.Record.Request,
	}
	c := s.copies[key]
	// After a seal, updates of entries that were accepted before it are still accepted, because the ledger already
	// reserves their ceilings.
	if (c == nil || entry.Serial > c.entry.Serial) && (s.sealed[entry.Owner] || s.sealed[entry.Holder]) {
		return ErrSealed
	}
	if c != nil && entry.Serial < c.entry.Serial {
		return ErrNotFound
	}
	if c != nil && !entry.supersedes(c.entry) {
		return nil
	}
	growth := entry.size()
	if c != nil {
		growth -= c.entry.size()
	}
	if s.copyBytes+growth > s.limits.CopyBytes {
		return ErrFull
	}
	s.copyBytes += growth
	if c == nil {
		s.copies[key] = &copiedEntry{
			entry:   entry,
			version: 1,
		}
		return nil
	}
	c.entry = entry
	c.version++
	c.rejected = false
	return nil
}

// Drop deletes the copy of an entry because, according to its owner, the ledger has it or its call was not sent. A copy
// with a higher serial belongs to a later start and is kept.
func (s *State) Drop(owner laceunit.Holder, request laceledger.Request, serial uint64) {
	key := copyKey{
		owner:   owner,
		request: request,
	}
	if c := s.copies[key]; c != nil && c.entry.Serial <= serial {
		s.copyBytes -= c.entry.size()
		delete(s.copies, key)
	}
}

// Seal rejects new entries of an owner, and of any instance that spends its grants, for the lifetime of this process.
func (s *State) Seal(owner laceunit.Holder) {
	s.sealed[owner] = true
}

// UnflushedCopies returns at most limit copies of a sealed owner's entries, or of entries spent under its grants, that
// are not in the ledger yet.
func (s *State) UnflushedCopies(owner laceunit.Holder, limit int) []VersionedEntry {
	var list []VersionedEntry
	for k, c := range s.copies {
		if len(list) == limit {
			break
		}
		if !c.rejected && c.flushedVersion < c.version && (k.owner == owner || c.entry.Holder == owner) {
			list = append(list, VersionedEntry{
				Entry:   c.entry,
				Version: c.version,
				isCopy:  true,
			})
		}
	}
	return sortByRequest(list)
}

// CopiesFlushed reports whether an owner is sealed and the ledger has every copy of its entries and of the entries
// spent under its grants.
func (s *State) CopiesFlushed(owner laceunit.Holder) bool {
	for k, c := range s.copies {
		if c.flushedVersion < c.version && (k.owner == owner || c.entry.Holder == owner) {
			return false
		}
	}
	return s.sealed[owner]
}

func (s *State) applyCopyVerdict(v VersionedEntry, result laceledger.Result) {
	key := copyKey{
		owner:   v.Entry.Owner,
		request: v.Entry.Record.Request,
	}
	c := s.copies[key]
	switch {
	case c == nil:
	case !isRecorded(result):
		c.rejected = c.version == v.Version
	default:
		c.flushedVersion = max(c.flushedVersion, v.Version)
		if c.flushedVersion == c.version && c.entry.Record.Finished {
			s.Drop(key.owner, key.request, c.entry.Serial)
		}
	}
}

// Releasable reports whether no more offline records can arrive for the closed grant of a dead holder: every witness of
// the grant has sealed the holder and flushed its copies. A grant without witnesses was never spent offline.
func Releasable(grant laceledger.Grant, flushed map[laceunit.Holder]bool) bool {
	return grant.Closed &&
		!slices.ContainsFunc(grant.Witnesses, func(w laceunit.Holder) bool { return !flushed[w] })
}

func sortByRequest(list []VersionedEntry) []VersionedEntry {
	slices.SortFunc(list, func(a, b VersionedEntry) int {
		x, y := a.Entry.Record.Request, b.Entry.Record.Request
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.ID, y.ID))
	})
	return list
}

func sortedHolders(set map[laceunit.Holder]bool) []laceunit.Holder {
	list := make([]laceunit.Holder, 0, len(set))
	for h := range set {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b laceunit.Holder) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// unflushedOwners returns the owners with copies that are not in the ledger yet.
func (s *State) unflushedOwners() []laceunit.Holder {
	set := map[laceunit.Holder]bool{}
	for k, c := range s.copies {
		if c.flushedVersion < c.version {
			set[k.owner] = true
		}
	}
	return sortedHolders(set)
}
