package laceconfig

import (
	"maps"
	"regexp"
	"sort"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Content is a document as canonical YAML texts by section and entry id; a section without ids has one entry, "".
type Content map[Section]map[string]string

// Change is the change of one entry; an empty text means that the entry is not there.
type Change struct {
	Section Section
	Entry   string
	Before  string
	After   string
}

// Path returns section.entry.
func (c Change) Path() string {
	if c.Entry == "" {
		return string(c.Section)
	}
	return string(c.Section) + "." + c.Entry
}

var hashText = regexp.MustCompile(`(hash: )['"]?([0-9a-f]{8})[0-9a-f]{56}['"]?`)

// Redact shortens key hashes, so that plans, audit records and logs tell keys apart without giving the hash.
func (c Change) Redact() Change {
	c.Before = hashText.ReplaceAllString(c.Before, "$1$2...")
	c.After = hashText.ReplaceAllString(c.After, "$1$2...")
	return c
}

// Split returns the content of a document.
func Split(d Document) (Content, error) {
	c := Content{}
	for _, s := range Sections() {
		entries, err := splitSection(d, s)
		if err != nil {
			return nil, err
		}
		c[s] = entries
	}
	return c, nil
}

// Join returns the document with a content.
func Join(c Content) (Document, error) {
	d := Default()
	for s, entries := range c {
		for id, body := range entries {
			if err := readEntry(&d, s, id, body); err != nil {
				return Document{}, err
			}
		}
	}
	return d, nil
}

// Patch returns the document after changes; the one passed in stays as it is.
func Patch(d Document, changes []Change) (Document, error) {
	cloned := map[Section]bool{}
	for _, c := range changes {
		if !cloned[c.Section] {
			cloned[c.Section] = true
			clone(&d, c.Section)
		}
		if err := patchEntry(&d, c); err != nil {
			return Document{}, err
		}
	}
	return d, nil
}

// Diff returns the changes between two contents, in the order of sections and ids.
func Diff(before, after Content) []Change {
	var all []Change
	for _, s := range Sections() {
		for id, text := range before[s] {
			if now := after[s][id]; now != text {
				all = append(all, Change{Section: s, Entry: id, Before: text, After: now})
			}
		}
		for id, text := range after[s] {
			if _, ok := before[s][id]; !ok {
				all = append(all, Change{Section: s, Entry: id, After: text})
			}
		}
	}
	order := map[Section]int{}
	for i, s := range Sections() {
		order[s] = i
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].Section != all[j].Section {
			return order[all[i].Section] < order[all[j].Section]
		}
		return all[i].Entry < all[j].Entry
	})
	return all
}

func splitSection(d Document, s Section) (map[string]string, error) {
	switch s {
	case SectionAccounts:
		return writeAll(d.Accounts, accountFields)
	case SectionServers:
		return writeAll(d.Servers, serverFields)
	case SectionModels:
		return writeAll(d.Models, modelFields)
	case SectionServices:
		return writeAll(d.Services, serviceFields)
	case SectionRouting:
		return writeOne(routingFields(&d.Routing))
	case SectionLimits:
		return writeOne(limitsFields(&d.Limits))
	case SectionAudit:
		return writeOne(auditFields(&d.Audit))
	default:
		return nil, errors.Errorf("no section %q", s)
	}
}

func writeAll[K ~string, T any](all map[K]T, table func(*T) []laceyaml.Field) (map[string]string, error) {
	texts := make(map[string]string, len(all))
	for id, x := range all {
		text, err := laceyaml.Write(table(&x))
		if err != nil {
			return nil, err
		}
		texts[string(id)] = string(text)
	}
	return texts, nil
}

func writeOne(fields []laceyaml.Field) (map[string]string, error) {
	text, err := laceyaml.Write(fields)
	return map[string]string{"": string(text)}, err
}

func readEntry(d *Document, s Section, id, body string) error {
	var err error
	switch s {
	case SectionAccounts:
		err = readInto(d.Accounts, laceunit.AccountID(id), Account{}, accountFields, body)
	case SectionServers:
		err = readInto(d.Servers, laceunit.ServerID(id), freshServer(), serverFields, body)
	case SectionModels:
		err = readInto(d.Models, laceunit.ModelID(id), Model{}, modelFields, body)
	case SectionServices:
		err = readInto(d.Services, laceunit.ServiceID(id), freshService(), serviceFields, body)
	case SectionRouting:
		d.Routing = Default().Routing
		err = readOne(routingFields(&d.Routing), body)
	case SectionLimits:
		d.Limits = Default().Limits
		err = readOne(limitsFields(&d.Limits), body)
	case SectionAudit:
		d.Audit = Default().Audit
		err = readOne(auditFields(&d.Audit), body)
	default:
		return errors.Errorf("no section %q", s)
	}
	return errors.Wrapf(err, "entry %s.%s", s, id)
}

func readInto[K ~string, T any](all map[K]T, id K, fresh T, table func(*T) []laceyaml.Field, body string) error {
	if err := readOne(table(&fresh), body); err != nil {
		return err
	}
	all[id] = fresh
	return nil
}

func readOne(fields []laceyaml.Field, body string) error {
	_, faults := laceyaml.Read([]byte(body), fields)
	return faults.Err()
}

func patchEntry(d *Document, c Change) error {
	if c.After != "" {
		return readEntry(d, c.Section, c.Entry, c.After)
	}
	switch c.Section {
	case SectionAccounts:
		delete(d.Accounts, laceunit.AccountID(c.Entry))
	case SectionServers:
		delete(d.Servers, laceunit.ServerID(c.Entry))
	case SectionModels:
		delete(d.Models, laceunit.ModelID(c.Entry))
	case SectionServices:
		delete(d.Services, laceunit.ServiceID(c.Entry))
	default:
		return errors.Errorf("section %q can't be removed", c.Section)
	}
	return nil
}

func clone(d *Document, s Section) {
	switch s {
	case SectionAccounts:
		d.Accounts = maps.Clone(d.Accounts)
	case SectionServers:
		d.Servers = maps.Clone(d.Servers)
	case SectionModels:
		d.Models = maps.Clone(d.Models)
	case SectionServices:
		d.Services = maps.Clone(d.Services)
	}
}
