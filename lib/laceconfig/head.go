package laceconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"regexp"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Keys of the configuration in the platform.
const (
	HeadKey    laceplatform.Key = "config/head"
	bodyPrefix laceplatform.Key = "config/body/"
	editPrefix laceplatform.Key = "config/edit/"
)

// partBytes is the size that a part of a section aims at. A change of one entry rewrites one part,
// and the head lists every part: 64 KiB keeps both small at 6,800 accounts.
const partBytes = 64 << 10

// maxEntry bounds one entry, so that a record of its change fits into one value of the platform.
const maxEntry = 128 << 10

// maxVersion keeps versions inside every signed form that they pass through.
const maxVersion = laceunit.Version(1) << 62

// maxParts bounds the length of the head.
const maxParts = 1024

// Ref names a state of a section and the bodies that hold it.
type Ref struct {
	Revision laceunit.Version
	// Who made the revision, and When.
	Author string
	Time   time.Time
	// Parts are the digests of the bodies.
	Parts []laceunit.Digest
}

// Stamp returns the state that the reference names; a section that was never edited has a zero stamp.
func (r Ref) VersionStamp() VersionStamp {
	if r.Revision == 0 {
		return VersionStamp{}
	}
	return VersionStamp{
		Revision: r.Revision,
		Digest:   digestOfParts(r.Parts),
	}
}

func digestOfParts(parts []laceunit.Digest) laceunit.Digest {
	h := sha256.New()
	for _, p := range parts {
		_, _ = h.Write([]byte(p + "\n"))
	}
	return laceunit.Digest(hex.EncodeToString(h.Sum(nil)))
}

// Last is the last accepted change, from which its audit record is made.
type LastChange struct {
	EditID string
	Author string
	Time   time.Time
	Digest laceunit.Digest
	// Before holds the former state of each section that the edit changed.
	Before map[Section]Ref
}

// Head is the accepted state of the whole document.
type Head struct {
	Version    laceunit.Version
	Sections   map[Section]Ref
	LastChange LastChange
	// Oldest is the lowest version whose audit record is kept.
	OldestRecord laceunit.Version
	// Revision is the platform's revision of the head; it is not part of its text.
	Revision laceplatform.Revision
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func digests(name string, p *[]laceunit.Digest) laceyaml.Field {
	return laceyaml.Strings(name, "", "a digest", p, digestPattern.MatchString)
}

func refFields(r *Ref) []laceyaml.Field {
	return []laceyaml.Field{
		version("revision", &r.Revision),
		laceyaml.String("who", "", &r.Author),
		laceyaml.Time("when", "", &r.Time),
		digests("parts", &r.Parts),
	}
}

func version(name string, p *laceunit.Version) laceyaml.Field {
	return laceyaml.Unsigned(name, "", p, 0, maxVersion)
}

func freshRef() Ref { return Ref{} }

func headFields(h *Head) []laceyaml.Field {
	return []laceyaml.Field{
		version("version", &h.Version),
		version("oldest", &h.OldestRecord),
		laceyaml.Map("sections", "", &h.Sections, freshRef, refFields),
		laceyaml.Group("last", "",
			laceyaml.String("edit", "", &h.LastChange.EditID),
			laceyaml.String("who", "", &h.LastChange.Author),
			laceyaml.Time("when", "", &h.LastChange.Time),
			laceyaml.String("digest", "", &h.LastChange.Digest),
			laceyaml.Map("before", "", &h.LastChange.Before, freshRef, refFields)),
	}
}

// DecodeHead reads the head as it stands in the platform.
func DecodeHead(e laceplatform.Entry) (Head, error) {
	h := Head{
		Revision: e.Revision,
	}
	if _, faults := laceyaml.Read(e.Value, headFields(&h)); len(faults) > 0 {
		return Head{}, errors.Wrap(faults, "configuration head")
	}
	return h, nil
}

func (h Head) encode() ([]byte, error) {
	return laceyaml.Write(headFields(&h))
}

// bodies returns the digests that references name.
func bodies(refs map[Section]Ref) map[laceunit.Digest]bool {
	all := map[laceunit.Digest]bool{}
	for _, r := range refs {
		for _, p := range r.Parts {
			all[p] = true
		}
	}
	return all
}

// part is one body: a section's entries whose ids hash to the same number.
type part struct {
	digest laceunit.Digest
	text   []byte
}

// parts cuts a section into bodies. The cut depends on the content alone, so equal content has equal digests.
func parts(s Section, entries map[string]string) ([]part, error) {
	total := 0
	for id, body := range entries {
		total += len(id) + len(body)
	}
	count := 1
	for count < maxParts && total > count*partBytes {
		count *= 2
	}
	buckets := make([]map[string]string, count)
	for id, body := range entries {
		n := xxhash.Sum64String(id) % uint64(count)
		if buckets[n] == nil {
			buckets[n] = map[string]string{}
		}
		buckets[n][id] = body
	}
	all := make([]part, 0, count)
	for _, b := range buckets {
		text, err := encodePart(s, b)
		if err != nil {
			return nil, err
		}
		if len(text) > laceplatform.MaxValueBytes {
			return nil, errors.Errorf("section %s is too large: a part has %d bytes", s, len(text))
		}
		sum := sha256.Sum256(text)
		all = append(all, part{
			digest: laceunit.Digest(hex.EncodeToString(sum[:])),
			text:   text,
		})
	}
	return all, nil
}

// pair is one entry inside a body.
type pair struct {
	id   string
	body string
}

func pairFields(p *pair) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.String("id", "", &p.id),
		laceyaml.Body("body", "", &p.body),
	}
}

func partFields(section *Section, pairs *[]pair) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("section", "", section, Sections()...).Must(),
		laceyaml.List("entries", "", pairs, pairFields),
	}
}

func encodePart(s Section, entries map[string]string) ([]byte, error) {
	var pairs []pair
	for _, id := range sorted(entries) {
		pairs = append(pairs, pair{id: id, body: entries[id]})
	}
	return laceyaml.Write(partFields(&s, &pairs))
}

func decodePart(text []byte) (Section, map[string]string, error) {
	var s Section
	var pairs []pair
	if _, faults := laceyaml.Read(text, partFields(&s, &pairs)); len(faults) > 0 {
		return "", nil, errors.Wrap(faults, "configuration body")
	}
	entries := make(map[string]string, len(pairs))
	for _, p := range pairs {
		entries[p.id] = p.body
	}
	return s, entries, nil
}

func auditKey(v laceunit.Version) laceplatform.Key {
	return laceplatform.Key(fmt.Sprintf("audit/%020d", uint64(v)))
}

func editKey(id string) laceplatform.Key {
	return editPrefix + laceplatform.Key(id)
}
