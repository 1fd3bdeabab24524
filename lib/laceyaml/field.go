package laceyaml

import (
	"sort"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Field binds a YAML key to a Go value.
type Field struct {
	Name string
	Doc  string
	// Expect says in words which values are allowed.
	Expect   string
	Required bool
	// Fields are the keys below: of a group, or of each entry of a list or a map.
	Fields []Field
	// Many is "list" or "map" when Fields belong to each of several entries.
	Collection string

	decode func(r *Decoder, n *yaml.Node, path string)
	encode func() *yaml.Node
	// text and set are present for single values only.
	text func() string
	set  func(string) error
	// bare is true while the value is empty and may be left out of the output.
	bare func() bool
}

// Must marks a field as required.
func (f Field) AsRequired() Field {
	f.Required = true
	return f
}

// Sparse leaves a zero value out of the output.
func (f Field) OmitZero() Field {
	f.bare = func() bool {
		switch f.text() {
		case "", "0", "0s", "0B", "false":
			return true
		}
		return false
	}
	return f
}

// Blank allows a key without a value, as a template leaves it whose placeholder is empty; the default holds.
func (f Field) AllowNull() Field {
	decode := f.decode
	f.decode = func(r *Decoder, n *yaml.Node, path string) {
		if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
			return
		}
		decode(r, n, path)
	}
	return f
}

// Secret keeps the value out of faults.
func (f Field) Secret() Field {
	decode, set, expect := f.decode, f.set, f.Expect
	f.decode = func(r *Decoder, n *yaml.Node, path string) {
		before := len(r.Faults)
		decode(r, n, path)
		for i := before; i < len(r.Faults); i++ {
			r.Faults[i].Found = ""
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

// Single reports whether the field holds one value that a flag can set.
func (f Field) IsLeaf() bool { return f.set != nil }

// Text returns a single value as text.
func (f Field) Text() string { return f.text() }

// Set parses a single value; the error says what is expected.
func (f Field) Set(s string) error { return f.set(s) }

// Group binds a nested mapping.
func Group(name, doc string, fields ...Field) Field {
	return Field{
		Name:   name,
		Doc:    doc,
		Expect: "a mapping",
		Fields: fields,
		decode: func(r *Decoder, n *yaml.Node, path string) { r.mapping(n, path, fields) },
		encode: func() *yaml.Node { return EncodeNode(fields) },
		bare: func() bool {
			for _, f := range fields {
				if f.bare == nil || !f.bare() {
					return false
				}
			}
			return true
		},
	}
}

// List binds a list of mappings.
func List[T any](name, doc string, p *[]T, table func(*T) []Field) Field {
	return Field{
		Name:       name,
		Doc:        doc,
		Expect:     "a list of mappings",
		Collection: "list",
		Fields:     table(new(T)),
		bare:       func() bool { return len(*p) == 0 },
		decode: func(r *Decoder, n *yaml.Node, path string) {
			*p = nil
			r.items(n, path, func(v *yaml.Node, at string) {
				var x T
				r.mapping(v, at, table(&x))
				*p = append(*p, x)
			})
		},
		encode: func() *yaml.Node {
			n := &yaml.Node{Kind: yaml.SequenceNode}
			for i := range *p {
				n.Content = append(n.Content, EncodeNode(table(&(*p)[i])))
			}
			return n
		},
	}
}

// Map binds a mapping from ids to mappings; fresh returns the value that an entry starts from.
func Map[K ~string, T any](name, doc string, p *map[K]T, fresh func() T, table func(*T) []Field) Field {
	sample := fresh()
	return Field{
		Name:       name,
		Doc:        doc,
		Expect:     "a mapping by id",
		Collection: "map",
		Fields:     table(&sample),
		decode: func(r *Decoder, n *yaml.Node, path string) {
			*p = map[K]T{}
			r.pairs(n, path, func(k, v *yaml.Node, at string) {
				if !idPattern.MatchString(k.Value) {
					r.AddFault(k, path, "an id: "+IDForm, k.Value)
					return
				}
				x := fresh()
				r.mapping(v, at, table(&x))
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
				n.Content = append(n.Content, scalar(id), EncodeNode(table(&x)))
			}
			return n
		},
	}
}

func (r *Decoder) items(n *yaml.Node, path string, f func(v *yaml.Node, path string)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.SequenceNode {
		r.AddFault(n, path, "a list", describe(n))
		return
	}
	for i, v := range n.Content {
		at := path + index(i)
		r.Lines[at] = v.Line
		f(v, at)
	}
}
