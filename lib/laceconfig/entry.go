package laceconfig

import (
	"maps"
	"regexp"
	"sort"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Content is a document as canonical YAML texts by section and entry id; a section without ids has a single entry, "".
type Content map[Section]map[string]string

// Change is the change of one entry; an empty text means that the entry does not exist.
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

var keyHashPattern = regexp.MustCompile(`(hash: )['"]?([0-9a-f]{8})[0-9a-f]{56}['"]?`)

// Redact truncates key hashes, so that plans, audit records and logs distinguish keys without revealing the hash.
func (c Change) Redact() Change {
	c.Before = keyHashPattern.ReplaceAllString(c.Before, "$1$2...")
	c.After = keyHashPattern.ReplaceAllString(c.After, "$1$2...")
	return c
}

// Split encodes a document entry by entry.
func Split(d Document) (Content, error) {
	c := Content{}
	for _, s := range Sections() {
		entries, err := encodeSection(d, s)
		if err != nil {
			return nil, err
		}
		c[s] = entries
	}
	return c, nil
}

// Join decodes a content into a document; it is the inverse of Split.
func Join(c Content) (Document, error) {
	d := Default()
	for s, entries := range c {
		for id, body := range entries {
			if err := decodeEntry(&d, s, id, body); err != nil {
				return Document{}, err
			}
		}
	}
	return d, nil
}

// Patch returns a copy of the document with the changes applied; d itself is not modified.
func Patch(d Document, changes []Change) (Document, error) {
	cloned := map[Section]bool{}
	for _, c := range changes {
		if !cloned[c.Section] {
			cloned[c.Section] = true
			cloneSection(&d, c.Section)
		}
		if err := patchEntry(&d, c); err != nil {
			return Document{}, err
		}
	}
	return d, nil
}

// Diff returns the changes between two contents, ordered by section and id.
func Diff(before, after Content) []Change {
	var all []Change
	for _, s := range Sections() {
		for id, text := range before[s] {
			if updated := after[s][id]; updated != text {
				all = append(all, Change{Section: s, Entry: id, Before: text, After: updated})
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

func encodeSection(d Document, s Section) (map[string]string, error) {
	switch s {
	case SectionAccounts:
		return encodeEntries(d.Accounts, accountFields)
	case SectionServers:
		return encodeEntries(d.Servers, serverFields)
	case SectionModels:
		return encodeEntries(d.Models, modelFields)
	case SectionServices:
		return encodeEntries(d.Services, serviceFields)
	case SectionRouting:
		return encodeSingleEntry(routingFields(&d.Routing))
	case SectionLimits:
		return encodeSingleEntry(limitsFields(&d.Limits))
	case SectionAudit:
		return encodeSingleEntry(auditFields(&d.Audit))
	default:
		return nil, errors.Errorf("no section %q", s)
	}
}

func encodeEntries[K ~string, T any](entries map[K]T, fieldsOf func(*T) []laceyaml.Field) (map[string]string, error) {
	texts := make(map[string]string, len(entries))
	for id, x := range entries {
		text, err := laceyaml.Encode(fieldsOf(&x))
		if err != nil {
			return nil, err
		}
		texts[string(id)] = string(text)
	}
	return texts, nil
}

func encodeSingleEntry(fields []laceyaml.Field) (map[string]string, error) {
	text, err := laceyaml.Encode(fields)
	return map[string]string{"": string(text)}, err
}

func decodeEntry(d *Document, s Section, id, body string) error {
	var err error
	switch s {
	case SectionAccounts:
		err = decodeInto(d.Accounts, laceunit.AccountID(id), Account{}, accountFields, body)
	case SectionServers:
		err = decodeInto(d.Servers, laceunit.ServerID(id), defaultServer(), serverFields, body)
	case SectionModels:
		err = decodeInto(d.Models, laceunit.ModelID(id), Model{}, modelFields, body)
	case SectionServices:
		err = decodeInto(d.Services, laceunit.ServiceID(id), defaultService(), serviceFields, body)
	case SectionRouting:
		d.Routing = Default().Routing
		err = decodeFields(routingFields(&d.Routing), body)
	case SectionLimits:
		d.Limits = Default().Limits
		err = decodeFields(limitsFields(&d.Limits), body)
	case SectionAudit:
		d.Audit = Default().Audit
		err = decodeFields(auditFields(&d.Audit), body)
	default:
		return errors.Errorf("no section %q", s)
	}
	return errors.Wrapf(err, "entry %s.%s", s, id)
}

func decodeInto[K ~string, T any](
	entries map[K]T, id K, entry T, fieldsOf func(*T) []laceyaml.Field, body string,
) error {
	if err := decodeFields(fieldsOf(&entry), body); err != nil {
		return err
	}
	entries[id] = entry
	return nil
}

func decodeFields(fields []laceyaml.Field, body string) error {
	_, faults := laceyaml.Decode([]byte(body), fields)
	return faults.Err()
}

func patchEntry(d *Document, c Change) error {
	if c.After != "" {
		return decodeEntry(d, c.Section, c.Entry, c.After)
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

func cloneSection(d *Document, s Section) {
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
