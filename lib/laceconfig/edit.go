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

// Edit is a proposed change of one or more sections, accepted as a whole or not at all.
type Edit struct {
	// ID makes the edit idempotent.
	ID     string
	Author string
	// At is the wall clock of the instance that carries the edit out; only records use it.
	Time time.Time
	File File
}

// digest identifies what an edit asks for, so that a reused id is told from a repeated edit.
func (e Edit) digest(c Content) laceunit.Digest {
	h := sha256.New()
	for _, s := range e.File.Sections {
		_, _ = fmt.Fprintf(h, "%s %s\n", s, e.File.Base[s])
		for _, id := range sorted(c[s]) {
			_, _ = fmt.Fprintf(h, "%q %q\n", id, c[s][id])
		}
	}
	return laceunit.Digest(hex.EncodeToString(h.Sum(nil)))
}

// Clash is a section that has changed since the editor saw it.
type SectionConflict struct {
	Section Section
	Base    VersionStamp
	Current Ref
}

// Conflict means that another edit of the same section was accepted first; nothing was changed.
type ConflictError struct {
	Sections []SectionConflict
}

// Error implements error.
func (c *ConflictError) Error() string {
	lines := make([]string, len(c.Sections))
	for i, x := range c.Sections {
		seen := "started from " + x.Base.String()
		if x.Base == (VersionStamp{}) {
			seen = "names no base"
		}
		lines[i] = fmt.Sprintf("section %s is at %s since %s by %s, the edit %s; show it and edit again",
			x.Section, x.Current.VersionStamp(), x.Current.Time.UTC().Format(time.RFC3339), x.Current.Author, seen)
	}
	return strings.Join(lines, "\n")
}

// Plan is what an edit would change.
type Plan struct {
	Version  laceunit.Version
	Sections []Section
	Changes  []Change
}

// proposal is an edit set against a state.
type proposal struct {
	plan     Plan
	document Document
	content  Content
}

// propose merges an edit into a state. Sections that the editor left alone are dropped, also when others changed them.
func propose(snap Snapshot, f File, wanted Content) (proposal, error) {
	p := proposal{
		document: snap.Document,
		content:  maps.Clone(snap.Content),
	}
	p.plan.Version = snap.Head.Version
	conflict := &ConflictError{}
	for _, s := range f.Sections {
		if maps.Equal(wanted[s], snap.Content[s]) {
			continue
		}
		current, seen := snap.Head.Sections[s], f.Base[s]
		if !seen.names(current.VersionStamp()) {
			same, err := untouched(s, wanted[s], seen)
			if err != nil {
				return proposal{}, err
			}
			if !same {
				conflict.Sections = append(conflict.Sections, SectionConflict{Section: s, Base: seen, Current: current})
			}
			continue
		}
		p.plan.Sections = append(p.plan.Sections, s)
		p.content[s] = wanted[s]
		move(&p.document, f.Document, s)
	}
	if len(conflict.Sections) > 0 {
		return proposal{}, conflict
	}
	p.plan.Changes = Diff(snap.Content, p.content)
	return p, p.check(f.Lines)
}

// check validates the merged whole, because a merge of two valid edits can leave a reference without its target.
func (p proposal) check(lines laceyaml.Lines) error {
	faults := Validate(p.document, lines)
	for _, c := range p.plan.Changes {
		if len(c.After) > maxEntry {
			faults = append(faults, laceyaml.Fault{
				Line:     lines.Near(c.Path()),
				Path:     c.Path(),
				Expected: "an entry of at most " + laceyaml.FormatSize(maxEntry),
				Found:    strconv.Itoa(len(c.After)) + "B",
			})
		}
	}
	return faults.Err()
}

// names reports whether the stamp that an editor gave is the current one.
func (s VersionStamp) names(current VersionStamp) bool {
	if s.Revision != current.Revision {
		return false
	}
	return s.Digest == "" || strings.HasPrefix(string(current.Digest), string(s.Digest))
}

func untouched(s Section, wanted map[string]string, seen VersionStamp) (bool, error) {
	if seen.Digest == "" {
		return false, nil
	}
	cut, err := parts(s, wanted)
	if err != nil {
		return false, err
	}
	return strings.HasPrefix(string(digestOfParts(digestList(cut))), string(seen.Digest)), nil
}

func digestList(all []part) []laceunit.Digest {
	list := make([]laceunit.Digest, len(all))
	for i, p := range all {
		list[i] = p.digest
	}
	return list
}

func move(to *Document, from Document, s Section) {
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

// Untouched reports whether a file holds a section as the editor saw it.
func Unmodified(f File, s Section) (bool, error) {
	entries, err := splitSection(f.Document, s)
	if err != nil {
		return false, err
	}
	if f.Base[s].Revision > 0 {
		return untouched(s, entries, f.Base[s])
	}
	standard, err := splitSection(Default(), s)
	return maps.Equal(entries, standard), err
}
