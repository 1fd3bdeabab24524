package laceconfig

import (
	"maps"
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Item is the state of one entry; an empty body means that the entry is gone.
type Item struct {
	Section Section
	Entry   string
	Body    string
	// Version is one at which the entry had this state, not before its last change.
	Version laceunit.Version
}

// Gap is a range of versions, both ends excluded, that a replica has skipped. An entry that changed and changed back
// inside the gap looks unchanged, so a replica that stands inside can only be brought up by a full delta.
type Gap struct {
	After  laceunit.Version
	Before laceunit.Version
}

func (g Gap) holds(v laceunit.Version) bool { return g.After < v && v < g.Before }

// Delta takes a replica from any version between From and To, outside the gaps, to the version To.
type Delta struct {
	From laceunit.Version
	To   laceunit.Version
	Gaps []Gap
	// Full deltas hold every entry; what they don't hold is gone.
	Full  bool
	Items []Item
}

// maxGone bounds the removed entries that are remembered; a replica that is further behind gets a full delta.
const maxGone = 4096

// maxGaps bounds the skipped ranges that are remembered, to the same end.
const maxGaps = 64

// entryKey names an entry.
type entryKey struct {
	section Section
	id      string
}

// entries are the texts of a document, with the version of each entry's last change.
type entries struct {
	version  laceunit.Version
	content  Content
	document Document
	changed  map[entryKey]laceunit.Version
	gone     map[entryKey]laceunit.Version
	// floor is the version up to which removals are no longer remembered.
	floor laceunit.Version
	gaps  []Gap
}

func emptyEntries() entries {
	return entries{
		content:  Content{},
		document: Default(),
		changed:  map[entryKey]laceunit.Version{},
		gone:     map[entryKey]laceunit.Version{},
	}
}

// since returns the delta for a replica at a version.
func (e *entries) since(v laceunit.Version) *Delta {
	if v >= e.version {
		return nil
	}
	d := &Delta{
		From: v,
		To:   e.version,
		Full: v == 0 || v < e.floor || inside(e.gaps, v),
	}
	for _, g := range e.gaps {
		if g.Before > v {
			d.Gaps = append(d.Gaps, g)
		}
	}
	for k, at := range e.changed {
		if d.Full || at > v {
			d.Items = append(d.Items, Item{Section: k.section, Entry: k.id, Body: e.content[k.section][k.id], Version: at})
		}
	}
	if d.Full {
		return d
	}
	for k, at := range e.gone {
		if at > v {
			d.Items = append(d.Items, Item{Section: k.section, Entry: k.id, Version: at})
		}
	}
	return d
}

func inside(gaps []Gap, v laceunit.Version) bool {
	for _, g := range gaps {
		if g.holds(v) {
			return true
		}
	}
	return false
}

// replace moves to a whole content.
func (e *entries) replace(to laceunit.Version, content Content) error {
	return e.move(to, Diff(e.content, content), nil, e.skipped(to))
}

// skipped returns the gap that a move leaves when only its end is known.
func (e *entries) skipped(to laceunit.Version) []Gap {
	if e.version == 0 || to == e.version+1 {
		return nil
	}
	return []Gap{{After: e.version, Before: to}}
}

// apply moves by a delta; it reports false when the delta does not lead upwards from the current version.
func (e *entries) apply(d *Delta) (bool, error) {
	if d == nil || d.To <= e.version || (!d.Full && (d.From > e.version || inside(d.Gaps, e.version))) {
		return false, nil
	}
	marks := map[entryKey]laceunit.Version{}
	var changes []Change
	for _, i := range d.Items {
		if !i.Section.Exists() || i.Version > d.To || (d.Full && i.Body == "") {
			return false, errors.Errorf("configuration: malformed item %s.%s of a delta", i.Section, i.Entry)
		}
		marks[entryKey{section: i.Section, id: i.Entry}] = i.Version
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
		// The sender's versions of last change hold for replicas outside its gaps only, and this one may be inside.
		changes, marks = Diff(e.content, wholeContent(d.Items)), nil
		gaps = e.skipped(d.To)
	}
	return true, e.move(d.To, changes, marks, gaps)
}

func wholeContent(items []Item) Content {
	c := Content{}
	for _, i := range items {
		if c[i.Section] == nil {
			c[i.Section] = map[string]string{}
		}
		c[i.Section][i.Entry] = i.Body
	}
	return c
}

// move applies changes as a whole or not at all; entries without a mark changed at the new version as far as is known.
func (e *entries) move(to laceunit.Version, changes []Change, marks map[entryKey]laceunit.Version, gaps []Gap) error {
	next, err := Patch(e.document, changes)
	if err != nil {
		return err
	}
	next.Version = to
	content := maps.Clone(e.content)
	copied := map[Section]bool{}
	for _, c := range changes {
		if !copied[c.Section] {
			copied[c.Section] = true
			if content[c.Section] = maps.Clone(content[c.Section]); content[c.Section] == nil {
				content[c.Section] = map[string]string{}
			}
		}
		k := entryKey{section: c.Section, id: c.Entry}
		at, ok := marks[k]
		if !ok {
			at = to
		}
		at = max(at, e.changed[k], e.gone[k])
		if c.After == "" {
			delete(content[c.Section], c.Entry)
			delete(e.changed, k)
			e.gone[k] = at
			continue
		}
		content[c.Section][c.Entry] = c.After
		delete(e.gone, k)
		e.changed[k] = at
	}
	e.content, e.document = content, next
	if e.version == 0 || len(e.gone) > maxGone {
		// Removals before the first version that was seen are not known.
		e.gone, e.floor, e.gaps = map[entryKey]laceunit.Version{}, to, nil
	}
	e.version = to
	for _, g := range gaps {
		if !slices.Contains(e.gaps, g) {
			e.gaps = append(e.gaps, g)
		}
	}
	for len(e.gaps) > maxGaps {
		e.floor = max(e.floor, e.gaps[0].Before)
		e.gaps = e.gaps[1:]
	}
	return nil
}
