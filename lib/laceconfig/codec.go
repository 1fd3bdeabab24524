package laceconfig

import (
	"regexp"
	"strconv"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Stamp names a state of a section: its revision and the digest of its content.
type VersionStamp struct {
	Revision laceunit.Version
	Digest   laceunit.Digest
}

// stampDigits is how much of a digest a stamp's text shows; 16 digits are enough to tell apart the states of a section.
const stampDigits = 16

var stampPattern = regexp.MustCompile(`^([0-9]{1,19})-([0-9a-f]{16})?$`)

// String returns the stamp as revision-digest.
func (s VersionStamp) String() string {
	d := s.Digest
	if len(d) > stampDigits {
		d = d[:stampDigits]
	}
	return strconv.FormatUint(uint64(s.Revision), 10) + "-" + string(d)
}

// ParseStamp reads the text form of a stamp.
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

// File is a document as operators read and write it: any of the sections, and the state that they were edited from.
type File struct {
	Document Document
	// Present lists the sections that the file holds, in the order of the document.
	Sections []Section
	// Base is the state that the editor saw.
	Base map[Section]VersionStamp
	// Lines tells the line of each path.
	Lines laceyaml.Lines
}

func stampFields(texts map[Section]*string) []laceyaml.Field {
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
		laceyaml.Unsigned("version", "Version that the file shows; it is ignored by an edit.", version, 0, maxVersion).Sparse(),
		laceyaml.Group("base", "State of each section that an edit starts from, as printed by `lacectl config show`.",
			stampFields(texts)...),
	}
	return append(head, documentFields(d)...)
}

// DecodeFile reads a file and checks each value by itself; references between sections are left to Validate.
func DecodeFile(text []byte) (File, error) {
	f := File{
		Document: Default(),
		Base:     map[Section]VersionStamp{},
	}
	texts := map[Section]*string{}
	lines, faults := laceyaml.Read(text, fileFields(&f.Document, &f.Document.Version, texts))
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

// Decode reads a whole document and reports all of its faults at once, as laceyaml.Faults.
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

// Encode writes a document; equal documents give equal texts.
func Encode(d Document) ([]byte, error) {
	return EncodeFile(File{
		Document: d,
	})
}

// EncodeFile writes a document with the state that an edit of it starts from.
func EncodeFile(f File) ([]byte, error) {
	texts := map[Section]*string{}
	fields := fileFields(&f.Document, &f.Document.Version, texts)
	for s, stamp := range f.Base {
		if t, ok := texts[s]; ok {
			*t = stamp.String()
		}
	}
	return laceyaml.Write(fields)
}
