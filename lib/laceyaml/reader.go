package laceyaml

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// maxDepth bounds nesting; the deepest table has six levels.
const maxDepth = 16

// Lines tells the line of each path of a text.
type Lines map[string]int

// Near returns the line of a path or of its nearest parent that is in the text.
func (l Lines) Near(path string) int {
	for path != "" {
		if n, ok := l[path]; ok {
			return n
		}
		i := strings.LastIndexAny(path, ".[")
		if i < 0 {
			return 0
		}
		path = path[:i]
	}
	return 0
}

// Reader decodes nodes and collects every fault.
type Decoder struct {
	Lines  Lines
	Faults Faults
}

// Read decodes a text into the values that the fields are bound to.
func Decode(text []byte, fields []Field) (Lines, Faults) {
	r := &Decoder{
		Lines: Lines{},
	}
	root, ok := r.parse(text)
	if ok {
		r.mapping(root, "", fields)
	}
	r.Faults.Sort()
	return r.Lines, r.Faults
}

var lineMessage = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

func (r *Decoder) parse(text []byte) (*yaml.Node, bool) {
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var document yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return &yaml.Node{Kind: yaml.MappingNode}, true
	}
	if err != nil {
		line, reason := 0, err.Error()
		if m := lineMessage.FindStringSubmatch(reason); m != nil {
			line, _ = strconv.Atoi(m[1])
			reason = m[2]
		}
		r.Faults = append(r.Faults, Fault{
			Line:     line,
			Expected: "well-formed YAML",
			Found:    cut(reason),
		})
		return nil, false
	}
	if err = decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		r.Faults = append(r.Faults, Fault{
			Expected: "a single YAML document",
		})
		return nil, false
	}
	if len(document.Content) == 0 {
		return &yaml.Node{Kind: yaml.MappingNode}, true
	}
	return document.Content[0], true
}

// Fail records a fault at a node.
func (r *Decoder) AddFault(n *yaml.Node, path, expected, found string) {
	r.Faults = append(r.Faults, Fault{
		Line:     n.Line,
		Path:     path,
		Expected: expected,
		Found:    cut(found),
	})
}

// pairs checks that a node is a mapping with distinct plain keys and calls f for each; a null is an empty mapping.
func (r *Decoder) pairs(n *yaml.Node, path string, f func(key, value *yaml.Node, path string)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		r.AddFault(n, path, "a mapping", describe(n))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if k.Kind != yaml.ScalarNode || k.Tag == "!!merge" {
			r.AddFault(k, path, "a plain key", describe(k))
			continue
		}
		p := join(path, k.Value)
		if seen[k.Value] {
			r.AddFault(k, p, "a key that is not listed twice", k.Value)
			continue
		}
		seen[k.Value] = true
		r.Lines[p] = k.Line
		if strings.Count(p, ".")+strings.Count(p, "[") > 4*maxDepth {
			r.AddFault(k, path, "at most "+strconv.Itoa(maxDepth)+" levels", "")
			continue
		}
		f(k, v, p)
	}
}

func (r *Decoder) mapping(n *yaml.Node, path string, fields []Field) {
	present := map[string]bool{}
	r.pairs(n, path, func(k, v *yaml.Node, p string) {
		for _, f := range fields {
			if f.Name == k.Value {
				present[f.Name] = true
				f.decode(r, v, p)
				return
			}
		}
		r.AddFault(k, p, "one of the keys "+names(fields), k.Value)
	})
	for _, f := range fields {
		if f.Required && !present[f.Name] {
			r.AddFault(n, join(path, f.Name), "this key: "+f.Expect, "")
		}
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func names(fields []Field) string {
	all := make([]string, len(fields))
	for i, f := range fields {
		all[i] = f.Name
	}
	return strings.Join(all, ", ")
}

func describe(n *yaml.Node) string {
	switch n.Kind {
	case yaml.ScalarNode:
		return n.Value
	case yaml.SequenceNode:
		return "a list"
	case yaml.MappingNode:
		return "a mapping"
	case yaml.AliasNode:
		return "an alias"
	default:
		return ""
	}
}
