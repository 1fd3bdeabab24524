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

// maxDepth limits nesting; the deepest schema has six levels.
const maxDepth = 16

// Lines maps each path of a text to its line.
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

// Decoder decodes nodes and collects all faults.
type Decoder struct {
	Lines  Lines
	Faults Faults
}

// Decode decodes a text into the values that the fields are bound to.
func Decode(text []byte, fields []Field) (Lines, Faults) {
	d := &Decoder{
		Lines: Lines{},
	}
	root, ok := d.parse(text)
	if ok {
		d.decodeMapping(root, "", fields)
	}
	d.Faults.Sort()
	return d.Lines, d.Faults
}

var lineMessage = regexp.MustCompile(`^yaml: (?:line (\d+): )?(.*)$`)

func (d *Decoder) parse(text []byte) (*yaml.Node, bool) {
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
		d.Faults = append(d.Faults, Fault{
			Line:     line,
			Expected: "well-formed YAML",
			Found:    truncate(reason),
		})
		return nil, false
	}
	if err = decoder.Decode(&yaml.Node{}); !errors.Is(err, io.EOF) {
		d.Faults = append(d.Faults, Fault{
			Expected: "a single YAML document",
		})
		return nil, false
	}
	if len(document.Content) == 0 {
		return &yaml.Node{Kind: yaml.MappingNode}, true
	}
	return document.Content[0], true
}

// AddFault records a fault of a node.
func (d *Decoder) AddFault(n *yaml.Node, path, expected, found string) {
	d.Faults = append(d.Faults, Fault{
		Line:     n.Line,
		Path:     path,
		Expected: expected,
		Found:    truncate(found),
	})
}

// eachPair validates that a node is a mapping with unique scalar keys and calls f for each pair; null is an empty
// mapping.
func (d *Decoder) eachPair(n *yaml.Node, path string, f func(key, value *yaml.Node, path string)) {
	if n.Kind == yaml.ScalarNode && n.Tag == "!!null" {
		return
	}
	if n.Kind != yaml.MappingNode {
		d.AddFault(n, path, "a mapping", describe(n))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		k, v := n.Content[i], n.Content[i+1]
		if k.Kind != yaml.ScalarNode || k.Tag == "!!merge" {
			d.AddFault(k, path, "a plain key", describe(k))
			continue
		}
		keyPath := joinPath(path, k.Value)
		if seen[k.Value] {
			d.AddFault(k, keyPath, "a key that is not listed twice", k.Value)
			continue
		}
		seen[k.Value] = true
		d.Lines[keyPath] = k.Line
		if strings.Count(keyPath, ".")+strings.Count(keyPath, "[") > 4*maxDepth {
			d.AddFault(k, path, "at most "+strconv.Itoa(maxDepth)+" levels", "")
			continue
		}
		f(k, v, keyPath)
	}
}

func (d *Decoder) decodeMapping(n *yaml.Node, path string, fields []Field) {
	present := map[string]bool{}
	d.eachPair(n, path, func(k, v *yaml.Node, keyPath string) {
		for _, f := range fields {
			if f.Name == k.Value {
				present[f.Name] = true
				f.decode(d, v, keyPath)
				return
			}
		}
		d.AddFault(k, keyPath, "one of the keys "+fieldNames(fields), k.Value)
	})
	for _, f := range fields {
		if f.Required && !present[f.Name] {
			d.AddFault(n, joinPath(path, f.Name), "this key: "+f.Expect, "")
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

func fieldNames(fields []Field) string {
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
