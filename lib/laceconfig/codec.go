package laceconfig

import (
	"regexp"
	"strconv"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// VersionStamp identifies a state of a section by its revision and the digest of its content. Edits carry it for
// optimistic concurrency control.
type VersionStamp struct {
	Revision laceunit.Version
	Digest   laceunit.Digest
}

// stampDigestLength is the length of the digest in the text form; 16 digits suffice to distinguish a section's states.
const stampDigestLength = 16

var stampPattern = regexp.MustCompile(`^([0-9]{1,19})-([0-9a-f]{16})?$`)

// String returns the stamp as revision-digest.
func (s VersionStamp) String() string {
	d := s.Digest
	if len(d) > stampDigestLength {
		d = d[:stampDigestLength]
	}
	return strconv.FormatUint(uint64(s.Revision), 10) + "-" + string(d)
}

// ParseVersionStamp parses the text form of a version stamp.
func ParseVersionStamp(s string) (VersionStamp, bool) {
	m := stampPattern.FindStringSubmatch(s)
	if m == nil {
		return VersionStamp{}, false
	}
	n, err := strconv.ParseUint(m[1], 10, 63)
	if err != nil {
		return VersionStamp{}, false
	}
	return VersionStamp{
		Revision: laceunit.Version(n),
		Digest:   laceunit.Digest(m[2]),
	}, true
}

// File is a document as operators read and write it: any subset of the sections, and the state that they are based on.
type File struct {
	Document Document
	// Sections lists the sections that the file contains, in the order of the document.
	Sections []Section
	// Base is the state of each section that the edit is based on.
	Base map[Section]VersionStamp
	// Lines maps each path to its line.
	Lines laceyaml.Lines
}

func baseFields(texts map[Section]*string) []laceyaml.Field {
	var fields []laceyaml.Field
	for _, s := range Sections() {
		fields = append(fields, laceyaml.Match(string(s), "Revision and digest of the section that the editor saw.",
			"revision-digest as printed by lacectl config show", texts[s],
			func(t string) bool { _, ok := ParseVersionStamp(t); return ok }))
	}
	return fields
}

func fileFields(d *Document, version *laceunit.Version, texts map[Section]*string) []laceyaml.Field {
	for _, s := range Sections() {
		texts[s] = new(string)
	}
	head := []laceyaml.Field{
		laceyaml.Unsigned("version", "Version that the file shows; it is ignored by an edit.",
			version, 0, maxVersion).OmitZero(),
		laceyaml.Group("base", "State of each section that an edit starts from, as printed by `lacectl config show`.",
			baseFields(texts)...),
	}
	return append(head, documentFields(d)...)
}

// DecodeFile decodes a file and checks each value on its own; Validate checks references between sections.
func DecodeFile(text []byte) (File, error) {
	f := File{
		Document: Default(),
		Base:     map[Section]VersionStamp{},
	}
	texts := map[Section]*string{}
	lines, faults := laceyaml.Decode(text, fileFields(&f.Document, &f.Document.Version, texts))
	f.Lines = lines
	for _, s := range Sections() {
		if _, ok := lines[string(s)]; ok {
			f.Sections = append(f.Sections, s)
		}
		if stamp, ok := ParseVersionStamp(*texts[s]); ok {
			f.Base[s] = stamp
		}
	}
	return f, faults.Err()
}

// Decode decodes a whole document and returns all of its faults together, as laceyaml.Faults.
func Decode(text []byte) (Document, error) {
	f, err := DecodeFile(text)
	if err != nil {
		var faults laceyaml.Faults
		faults = append(faults, asFaults(err)...)
		return Document{}, append(faults, Validate(f.Document, f.Lines)...).Err()
	}
	if err = Validate(f.Document, f.Lines).Err(); err != nil {
		return Document{}, err
	}
	return f.Document, nil
}

// Encode encodes a document deterministically: equal documents have equal texts.
func Encode(d Document) ([]byte, error) {
	return EncodeFile(File{
		Document: d,
	})
}

// EncodeFile encodes a document with the version stamps that an edit of it is based on.
func EncodeFile(f File) ([]byte, error) {
	texts := map[Section]*string{}
	fields := fileFields(&f.Document, &f.Document.Version, texts)
	for s, stamp := range f.Base {
		if t, ok := texts[s]; ok {
			*t = stamp.String()
		}
	}
	return laceyaml.Encode(fields)
}
