package lacejournal

import (
	"cmp"
	"slices"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// Accept takes a copy of another instance's entry. Once it is accepted, the copy holder answers for it until the owner
// says that the ledger has it.
func (b *State) Accept(entry Entry) error {
	key := copyKey{
		owner:   entry.Owner,
		request: entry.Record.Request,
	}
	c := b.copies[key]
	// The ledger already reserves the ceiling of a start that was reported with the seal, so its end is welcome.
	if (c == nil || entry.Serial > c.entry.Serial) && (b.sealed[entry.Owner] || b.sealed[entry.Holder]) {
		return ErrSealed
	}
	if c != nil && entry.Serial < c.entry.Serial {
		return ErrNotFound
	}
	if c != nil && !entry.newer(c.entry) {
		return nil
	}
	grow := entry.size()
	if c != nil {
		grow -= c.entry.size()
	}
	if b.copyBytes+grow > b.limits.CopyBytes {
		return ErrFull
	}
	b.copyBytes += grow
	if c == nil {
		b.copies[key] = &copied{
			entry:   entry,
			version: 1,
		}
		return nil
	}
	c.entry = entry
	c.version++
	c.stuck = false
	return nil
}

// Drop forgets the copy of a start whose owner says that the ledger has it or that its call was not sent.
func (b *State) Drop(owner laceunit.Holder, request laceledger.Request, serial uint64) {
	key := copyKey{
		owner:   owner,
		request: request,
	}
	if c := b.copies[key]; c != nil && c.entry.Serial <= serial {
		b.copyBytes -= c.entry.size()
		delete(b.copies, key)
	}
}

// Seal refuses further entries of an owner, and of anyone who spends its grants, for the rest of this process.
func (b *State) Seal(owner laceunit.Holder) {
	b.sealed[owner] = true
}

// Copies returns the copies of a sealed owner that the ledger lacks, at most limit of them.
func (b *State) UnflushedCopies(owner laceunit.Holder, limit int) []VersionedEntry {
	var list []VersionedEntry
	for k, c := range b.copies {
		if len(list) == limit {
			break
		}
		if !c.stuck && c.flushed < c.version && (k.owner == owner || c.entry.Holder == owner) {
			list = append(list, VersionedEntry{
				Entry:   c.entry,
				Version: c.version,
				copied:  true,
			})
		}
	}
	return sorted(list)
}

// Reported reports whether an owner is sealed and the ledger has every copy of its entries.
func (b *State) CopiesFlushed(owner laceunit.Holder) bool {
	for k, c := range b.copies {
		if c.flushed < c.version && (k.owner == owner || c.entry.Holder == owner) {
			return false
		}
	}
	return b.sealed[owner]
}

func (b *State) copyFlushed(pending VersionedEntry, result laceledger.Result) {
	key := copyKey{
		owner:   pending.Entry.Owner,
		request: pending.Entry.Record.Request,
	}
	c := b.copies[key]
	switch {
	case c == nil:
	case !known(result):
		c.stuck = c.version == pending.Version
	default:
		c.flushed = max(c.flushed, pending.Version)
		if c.flushed == c.version && c.entry.Record.Finished {
			b.Drop(key.owner, key.request, c.entry.Serial)
		}
	}
}

// Releasable reports whether nothing more can arrive for a dead holder's closed grant: every witness that the grant
// names has sealed the holder and flushed its copies. A grant without witnesses was never spent offline.
func Releasable(grant laceledger.Grant, reported map[laceunit.Holder]bool) bool {
	return grant.Closed &&
		!slices.ContainsFunc(grant.Witnesses, func(w laceunit.Holder) bool { return !reported[w] })
}

func sorted(list []VersionedEntry) []VersionedEntry {
	slices.SortFunc(list, func(a, b VersionedEntry) int {
		x, y := a.Entry.Record.Request, b.Entry.Record.Request
		return cmp.Or(cmp.Compare(x.Account, y.Account), cmp.Compare(x.ID, y.ID))
	})
	return list
}

func holdersOf(set map[laceunit.Holder]bool) []laceunit.Holder {
	list := make([]laceunit.Holder, 0, len(set))
	for h := range set {
		list = append(list, h)
	}
	slices.SortFunc(list, func(a, b laceunit.Holder) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// owners returns the owners whose copies the ledger lacks.
func (b *State) owners() []laceunit.Holder {
	set := map[laceunit.Holder]bool{}
	for k, c := range b.copies {
		if c.flushed < c.version {
			set[k.owner] = true
		}
	}
	return holdersOf(set)
}
