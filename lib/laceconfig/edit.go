package laceconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Edit is a proposed change of one or more sections; it is applied atomically.
type Edit struct {
	// ID is the idempotency key of the edit.
	ID     string
	Author string
	// Time is the wall-clock time of the instance that applies the edit; it is used only for records.
	Time time.Time
	File File
}

// digest is the fingerprint of an edit's content; it distinguishes a repeated edit from another one with a reused id.
func (e Edit) digest(c Content) laceunit.Digest {
	h := sha256.New()
	for _, s := range e.File.Sections {
		_, _ = fmt.Fprintf(h, "%s %s\n", s, e.File.Base[s])
		for _, id := range sortedKeys(c[s]) {
			_, _ = fmt.Fprintf(h, "%q %q\n", id, c[s][id])
		}
	}
	return laceunit.Digest(hex.EncodeToString(h.Sum(nil)))
}

// SectionConflict is a section that has changed since the state that the edit is based on.
type SectionConflict struct {
	Section Section
	Base    VersionStamp
	Current Ref
}

// ConflictError means that another edit of the same section was accepted first; nothing was changed.
type ConflictError struct {
	Sections []SectionConflict
}

// Error implements error.
func (c *ConflictError) Error() string {
	lines := make([]string, len(c.Sections))
	for i, x := range c.Sections {
		base := "started from " + x.Base.String()
		if x.Base == (VersionStamp{}) {
			base = "names no base"
		}
		lines[i] = fmt.Sprintf("section %s is at %s since %s by %s, the edit %s; show it and edit again",
			x.Section, x.Current.VersionStamp(), x.Current.Time.UTC().Format(time.RFC3339), x.Current.Author, base)
	}
	return strings.Join(lines, "\n")
}

// Plan is what an edit would change.
type Plan struct {
	Version  laceunit.Version
	Sections []Section
	Changes  []Change
}

// mergedEdit is the result of merging an edit into a state.
type mergedEdit struct {
	plan     Plan
	document Document
	content  Content
}

// mergeEdit merges an edit into a state. Sections that the edit did not modify are ignored, even if concurrent edits
// changed them.
func mergeEdit(snap Snapshot, f File, desired Content) (mergedEdit, error) {
	p := mergedEdit{
		document: snap.Document,
		content:  maps.Clone(snap.Content),
	}
	p.plan.Version = snap.Head.Version
	conflict := &ConflictError{}
	for _, s := range f.Sections {
		if maps.Equal(desired[s], snap.Content[s]) {
			continue
		}
		current, base := snap.Head.Sections[s], f.Base[s]
		if !base.matches(current.VersionStamp()) {
			same, err := unmodified(s, desired[s], base)
			if err != nil {
				return mergedEdit{}, err
			}
			if !same {
				conflict.Sections = append(conflict.Sections, SectionConflict{Section: s, Base: base, Current: current})
			}
			continue
		}
		p.plan.Sections = append(p.plan.Sections, s)
		p.content[s] = desired[s]
		copySection(&p.document, f.Document, s)
	}
	if len(conflict.Sections) > 0 {
		return mergedEdit{}, conflict
	}
	p.plan.Changes = Diff(snap.Content, p.content)
	return p, p.validate(f.Lines)
}

// validate validates the merged document, because a merge of two valid edits can leave a dangling reference.
func (p mergedEdit) validate(lines laceyaml.Lines) error {
	faults := Validate(p.document, lines)
	for _, c := range p.plan.Changes {
		if len(c.After) > maxEntryBytes {
			faults = append(faults, laceyaml.Fault{
				Line:     lines.Near(c.Path()),
				Path:     c.Path(),
				Expected: "an entry of at most " + laceyaml.FormatSize(maxEntryBytes),
				Found:    strconv.Itoa(len(c.After)) + "B",
			})
		}
	}
	return faults.Err()
}

// matches reports whether the version stamp of an edit is the current one.
func (s VersionStamp) matches(current VersionStamp) bool {
	if s.Revision != current.Revision {
		return false
	}
	return s.Digest == "" || strings.HasPrefix(string(current.Digest), string(s.Digest))
}

func unmodified(s Section, entries map[string]string, base VersionStamp) (bool, error) {
	if base.Digest == "" {
		return false, nil
	}
	parts, err := splitIntoParts(s, entries)
	if err != nil {
		return false, err
	}
	return strings.HasPrefix(string(digestOfParts(partDigests(parts))), string(base.Digest)), nil
}

func partDigests(all []part) []laceunit.Digest {
	list := make([]laceunit.Digest, len(all))
	for i, p := range all {
		list[i] = p.digest
	}
	return list
}

func copySection(to *Document, from Document, s Section) {
	switch s {
	case SectionAccounts:
		to.Accounts = from.Accounts
	case SectionServers:
		to.Servers = from.Servers
	case SectionModels:
		to.Models = from.Models
	case SectionServices:
		to.Services = from.Services
	case SectionRouting:
		to.Routing = from.Routing
	case SectionLimits:
		to.Limits = from.Limits
	case SectionAudit:
		to.Audit = from.Audit
	}
}

// Unmodified reports whether a section of a file equals the state that the edit is based on.
func Unmodified(f File, s Section) (bool, error) {
	entries, err := encodeSection(f.Document, s)
	if err != nil {
		return false, err
	}
	if f.Base[s].Revision > 0 {
		return unmodified(s, entries, f.Base[s])
	}
	defaults, err := encodeSection(Default(), s)
	return maps.Equal(entries, defaults), err
}
