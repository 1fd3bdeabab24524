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

// targetPartBytes is the target size of a part of a section. A change of one entry rewrites one part,
// and the head lists every part: 64 KiB keeps both small at 6,800 accounts.
const targetPartBytes = 64 << 10

// maxEntryBytes bounds one entry, so that the audit record of its change fits into one value of the platform.
const maxEntryBytes = 128 << 10

// maxVersion keeps versions within the range of every signed encoding of them.
const maxVersion = laceunit.Version(1) << 62

// maxParts bounds the parts of a section and thereby the size of the head.
const maxParts = 1024

// Ref refers to a state of a section and to the bodies that contain it.
type Ref struct {
	Revision laceunit.Version
	// Author is who made the revision, at Time.
	Author string
	Time   time.Time
	// Parts are the digests of the bodies.
	Parts []laceunit.Digest
}

// VersionStamp returns the version stamp of the state; a section that was never edited has the zero stamp.
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

// LastChange is the last accepted change, from which its audit record is built.
type LastChange struct {
	EditID string
	Author string
	Time   time.Time
	Digest laceunit.Digest
	// Before contains the previous state of each section that the edit changed.
	Before map[Section]Ref
}

// Head is the accepted state of the whole document.
type Head struct {
	Version    laceunit.Version
	Sections   map[Section]Ref
	LastChange LastChange
	// OldestRecord is the lowest version whose audit record is retained.
	OldestRecord laceunit.Version
	// Revision is the platform's revision of the head; it is not part of the encoding.
	Revision laceplatform.Revision
}

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func digestsField(name string, p *[]laceunit.Digest) laceyaml.Field {
	return laceyaml.Strings(name, "", "a digest", p, digestPattern.MatchString)
}

func refFields(r *Ref) []laceyaml.Field {
	return []laceyaml.Field{
		versionField("revision", &r.Revision),
		laceyaml.String("who", "", &r.Author),
		laceyaml.Time("when", "", &r.Time),
		digestsField("parts", &r.Parts),
	}
}

func versionField(name string, p *laceunit.Version) laceyaml.Field {
	return laceyaml.Unsigned(name, "", p, 0, maxVersion)
}

func emptyRef() Ref { return Ref{} }

func headFields(h *Head) []laceyaml.Field {
	return []laceyaml.Field{
		versionField("version", &h.Version),
		versionField("oldest", &h.OldestRecord),
		laceyaml.Map("sections", "", &h.Sections, emptyRef, refFields),
		laceyaml.Group("last", "",
			laceyaml.String("edit", "", &h.LastChange.EditID),
			laceyaml.String("who", "", &h.LastChange.Author),
			laceyaml.Time("when", "", &h.LastChange.Time),
			laceyaml.String("digest", "", &h.LastChange.Digest),
			laceyaml.Map("before", "", &h.LastChange.Before, emptyRef, refFields)),
	}
}

// DecodeHead decodes the head from its entry in the platform.
func DecodeHead(e laceplatform.Entry) (Head, error) {
	h := Head{
		Revision: e.Revision,
	}
	if _, faults := laceyaml.Decode(e.Value, headFields(&h)); len(faults) > 0 {
		return Head{}, errors.Wrap(faults, "configuration head")
	}
	return h, nil
}

func (h Head) encode() ([]byte, error) {
	return laceyaml.Encode(headFields(&h))
}

// referencedBodies returns the digests of the bodies that references refer to.
func referencedBodies(refs map[Section]Ref) map[laceunit.Digest]bool {
	all := map[laceunit.Digest]bool{}
	for _, r := range refs {
		for _, p := range r.Parts {
			all[p] = true
		}
	}
	return all
}

// part is one body: the entries of a section whose ids hash to the same bucket.
type part struct {
	digest laceunit.Digest
	text   []byte
}

// splitIntoParts partitions a section into bodies. The result depends on the content only, so that equal content has
// equal digests.
func splitIntoParts(s Section, entries map[string]string) ([]part, error) {
	total := 0
	for id, body := range entries {
		total += len(id) + len(body)
	}
	count := 1
	for count < maxParts && total > count*targetPartBytes {
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

// partEntry is one entry in a body.
type partEntry struct {
	id   string
	body string
}

func partEntryFields(p *partEntry) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.String("id", "", &p.id),
		laceyaml.RawText("body", "", &p.body),
	}
}

func partFields(section *Section, entries *[]partEntry) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.Choice("section", "", section, Sections()...).AsRequired(),
		laceyaml.List("entries", "", entries, partEntryFields),
	}
}

func encodePart(s Section, entries map[string]string) ([]byte, error) {
	var list []partEntry
	for _, id := range sortedKeys(entries) {
		list = append(list, partEntry{id: id, body: entries[id]})
	}
	return laceyaml.Encode(partFields(&s, &list))
}

func decodePart(text []byte) (Section, map[string]string, error) {
	var s Section
	var list []partEntry
	if _, faults := laceyaml.Decode(text, partFields(&s, &list)); len(faults) > 0 {
		return "", nil, errors.Wrap(faults, "configuration body")
	}
	entries := make(map[string]string, len(list))
	for _, p := range list {
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
