package laceconfig

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Item is the state of one entry; an empty body is a tombstone: the entry was deleted.
type Item struct {
	Section Section
	Entry   string
	Body    string
	// Version is a version at which the entry had this state; it is not older than the entry's last change.
	Version laceunit.Version
}

// Gap is an open range of versions that a replica skipped. An entry that changed and changed back within the gap looks
// unchanged, so that a replica at a version within the gap needs a full delta.
type Gap struct {
	After  laceunit.Version
	Before laceunit.Version
}

func (g Gap) contains(v laceunit.Version) bool { return g.After < v && v < g.Before }

// Delta updates a replica at any version between From and To, outside the gaps, to the version To.
type Delta struct {
	From laceunit.Version
	To   laceunit.Version
	Gaps []Gap
	// Full deltas contain every entry; entries that are missing from them were deleted.
	Full  bool
	Items []Item
}

// maxTombstones bounds the tombstones of deleted entries; a replica that is further behind gets a full delta.
const maxTombstones = 4096

// maxGaps bounds the recorded gaps; a replica that is further behind gets a full delta.
const maxGaps = 64

// entryKey identifies an entry.
type entryKey struct {
	section Section
	id      string
}

// entryTable is the content of a document, with the version of each entry's last change.
type entryTable struct {
	version     laceunit.Version
	content     Content
	document    Document
	lastChanged map[entryKey]laceunit.Version
	tombstones  map[entryKey]laceunit.Version
	// tombstoneFloor is the version before which tombstones and gaps were dropped.
	tombstoneFloor laceunit.Version
	gaps           []Gap
}

func newEntryTable() entryTable {
	return entryTable{
		content:     Content{},
		document:    Default(),
		lastChanged: map[entryKey]laceunit.Version{},
		tombstones:  map[entryKey]laceunit.Version{},
	}
}

// deltaSince returns the delta for a replica at version v, or nil if it is up to date.
func (e *entryTable) deltaSince(v laceunit.Version) *Delta {
	if v >= e.version {
		return nil
	}
	d := &Delta{
		From: v,
		To:   e.version,
		Full: v == 0 || v < e.tombstoneFloor || inAnyGap(e.gaps, v),
	}
	for _, g := range e.gaps {
		if g.Before > v {
			d.Gaps = append(d.Gaps, g)
		}
	}
	for k, at := range e.lastChanged {
		if d.Full || at > v {
			d.Items = append(d.Items, Item{Section: k.section, Entry: k.id, Body: e.content[k.section][k.id], Version: at})
		}
	}
	if d.Full {
		return d
	}
	for k, at := range e.tombstones {
		if at > v {
			d.Items = append(d.Items, Item{Section: k.section, Entry: k.id, Version: at})
		}
	}
	return d
}

func inAnyGap(gaps []Gap, v laceunit.Version) bool {
	for _, g := range gaps {
		if g.contains(v) {
			return true
		}
	}
	return false
}

// replace replaces the whole content.
func (e *entryTable) replace(to laceunit.Version, content Content) error {
	return e.advance(to, Diff(e.content, content), nil, e.gapBefore(to))
}

// gapBefore returns the gap that an update leaves if the versions between the current one and to are unknown.
func (e *entryTable) gapBefore(to laceunit.Version) []Gap {
	if e.version == 0 || to == e.version+1 {
		return nil
	}
	return []Gap{{After: e.version, Before: to}}
}

// apply applies a delta; it reports false when the delta is not newer or does not apply to the current version.
func (e *entryTable) apply(d *Delta) (bool, error) {
	if d == nil || d.To <= e.version || (!d.Full && (d.From > e.version || inAnyGap(d.Gaps, e.version))) {
		return false, nil
	}
	changedAt := map[entryKey]laceunit.Version{}
	var changes []Change
	for _, i := range d.Items {
		if !i.Section.Exists() || i.Version > d.To || (d.Full && i.Body == "") {
			return false, errors.Errorf("configuration: malformed item %s.%s of a delta", i.Section, i.Entry)
		}
		changedAt[entryKey{section: i.Section, id: i.Entry}] = i.Version
		if !d.Full {
			changes = append(changes, Change{
				Section: i.Section,
				Entry:   i.Entry,
				Before:  e.content[i.Section][i.Entry],
				After:   i.Body,
			})
		}
	}
	gaps := d.Gaps
	if d.Full {
		// The sender's versions of last changes are valid only for replicas outside its gaps, and this one may be inside.
		changes, changedAt = Diff(e.content, contentOf(d.Items)), nil
		gaps = e.gapBefore(d.To)
	}
	return true, e.advance(d.To, changes, changedAt, gaps)
}

func contentOf(items []Item) Content {
	c := Content{}
	for _, i := range items {
		if c[i.Section] == nil {
			c[i.Section] = map[string]string{}
		}
		c[i.Section][i.Entry] = i.Body
	}
	return c
}

// advance applies changes atomically. Entries without a version in changedAt are recorded as changed at the new
// version, since no earlier bound is known.
func (e *entryTable) advance(
	to laceunit.Version, changes []Change, changedAt map[entryKey]laceunit.Version, gaps []Gap,
) error {
	next, err := Patch(e.document, changes)
	if err != nil {
		return err
	}
	next.Version = to
	content := maps.Clone(e.content)
	cloned := map[Section]bool{}
	for _, c := range changes {
		if !cloned[c.Section] {
			cloned[c.Section] = true
			if content[c.Section] = maps.Clone(content[c.Section]); content[c.Section] == nil {
				content[c.Section] = map[string]string{}
			}
		}
		k := entryKey{section: c.Section, id: c.Entry}
		at, ok := changedAt[k]
		if !ok {
			at = to
		}
		at = max(at, e.lastChanged[k], e.tombstones[k])
		if c.After == "" {
			delete(content[c.Section], c.Entry)
			delete(e.lastChanged, k)
			e.tombstones[k] = at
			continue
		}
		content[c.Section][c.Entry] = c.After
		delete(e.tombstones, k)
		e.lastChanged[k] = at
	}
	e.content, e.document = content, next
	if e.version == 0 || len(e.tombstones) > maxTombstones {
		// Deletions before the first installed version are unknown.
		e.tombstones, e.tombstoneFloor, e.gaps = map[entryKey]laceunit.Version{}, to, nil
	}
	e.version = to
	for _, g := range gaps {
		if !slices.Contains(e.gaps, g) {
			e.gaps = append(e.gaps, g)
		}
	}
	for len(e.gaps) > maxGaps {
		e.tombstoneFloor = max(e.tombstoneFloor, e.gaps[0].Before)
		e.gaps = e.gaps[1:]
	}
	return nil
}
