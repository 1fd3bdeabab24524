package laceyaml

import (
	"sort"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Field is the schema of a YAML key and binds it to a Go value.
type Field struct {
	Name string
	Doc  string
	// Expect describes the valid values.
	Expect   string
	Required bool
	// Fields is the schema of a group, or of each entry of a list or a map.
	Fields []Field
	// Collection is "list" or "map" when Fields describe each entry of a collection; otherwise empty.
	Collection string

	decode func(d *Decoder, n *yaml.Node, path string)
	encode func() *yaml.Node
	// text and set are non-nil for leaves only.
	text func() string
	set  func(string) error
	// isEmpty reports whether the value is empty, in which case the encoder omits it; nil means never.
	isEmpty func() bool
}

// AsRequired marks a field as required.
func (f Field) AsRequired() Field {
	f.Required = true
	return f
}

// OmitZero omits a zero value from the output.
func (f Field) OmitZero() Field {
	f.isEmpty = func() bool {
		switch f.text() {
		case "", "0", "0s", "0B", "false":
			return true
		}
		return false
	}
	return f
}

// AllowNull accepts a key without a value, which a template with an empty placeholder produces; the default remains in
// effect.
func (f Field) AllowNull() Field {
	decode := f.decode
	f.decode = func(d *Decoder, n *yaml.Node, path string) {
		if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
			return
		}
		decode(d, n, path)
	}
	return f
}

// Secret omits the value from faults.
func (f Field) Secret() Field {
	decode, set, expect := f.decode, f.set, f.Expect
	f.decode = func(d *Decoder, n *yaml.Node, path string) {
		before := len(d.Faults)
		decode(d, n, path)
		for i := before; i < len(d.Faults); i++ {
			d.Faults[i].Found = ""
		}
	}
	f.set = func(s string) error {
		if set(s) != nil {
			return errors.New("expected " + expect)
		}
		return nil
	}
	return f
}

// IsLeaf reports whether the field is a value that a flag can set, not a group or a collection.
func (f Field) IsLeaf() bool { return f.set != nil }

// Text formats the value of a leaf.
func (f Field) Text() string { return f.text() }

// Set parses the value of a leaf; the error states the expected format.
func (f Field) Set(s string) error { return f.set(s) }

// Group binds a nested mapping.
func Group(name, doc string, fields ...Field) Field {
	return Field{
		Name:   name,
		Doc:    doc,
		Expect: "a mapping",
		Fields: fields,
		decode: func(d *Decoder, n *yaml.Node, path string) { d.decodeMapping(n, path, fields) },
		encode: func() *yaml.Node { return EncodeNode(fields) },
		isEmpty: func() bool {
			for _, f := range fields {
				if f.isEmpty == nil || !f.isEmpty() {
					return false
				}
			}
			return true
		},
	}
}

// List binds a list of mappings.
func List[T any](name, doc string, p *[]T, schema func(*T) []Field) Field {
	return Field{
		Name:       name,
		Doc:        doc,
		Expect:     "a list of mappings",
		Collection: "list",
		Fields:     schema(new(T)),
		isEmpty:    func() bool { return len(*p) == 0 },
		decode: func(d *Decoder, n *yaml.Node, path string) {
			*p = nil
			d.eachItem(n, path, func(v *yaml.Node, entryPath string) {
				var x T
				d.decodeMapping(v, entryPath, schema(&x))
				*p = append(*p, x)
			})
		},
		encode: func() *yaml.Node {
			n := &yaml.Node{Kind: yaml.SequenceNode}
			for i := range *p {
				n.Content = append(n.Content, EncodeNode(schema(&(*p)[i])))
			}
			return n
		},
	}
}

// Map binds a mapping from ids to mappings; newEntry returns an entry with its defaults.
func Map[K ~string, T any](name, doc string, p *map[K]T, newEntry func() T, schema func(*T) []Field) Field {
	sample := newEntry()
	return Field{
		Name:       name,
		Doc:        doc,
		Expect:     "a mapping by id",
		Collection: "map",
		Fields:     schema(&sample),
		decode: func(d *Decoder, n *yaml.Node, path string) {
			*p = map[K]T{}
			d.eachPair(n, path, func(k, v *yaml.Node, entryPath string) {
				if !idPattern.MatchString(k.Value) {
					d.AddFault(k, path, "an id: "+IDForm, k.Value)
					return
				}
				x := newEntry()
				d.decodeMapping(v, entryPath, schema(&x))
				(*p)[K(k.Value)] = x
			})
		},
		encode: func() *yaml.Node {
			ids := make([]string, 0, len(*p))
			for id := range *p {
				ids = append(ids, string(id))
			}
			sort.Strings(ids)
			n := &yaml.Node{Kind: yaml.MappingNode}
			for _, id := range ids {
				x := (*p)[K(id)]
				n.Content = append(n.Content, scalarNode(id), EncodeNode(schema(&x)))
			}
			return n
		},
	}
}

func (d *Decoder) eachItem(n *yaml.Node, path string, f func(v *yaml.Node, path string)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.SequenceNode {
		d.AddFault(n, path, "a list", describe(n))
		return
	}
	for i, v := range n.Content {
		entryPath := path + indexSuffix(i)
		d.Lines[entryPath] = v.Line
		f(v, entryPath)
	}
}
