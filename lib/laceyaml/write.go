package laceyaml

import (
	"bytes"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Node encodes fields in the order of their table; empty optional values are left out.
func EncodeNode(fields []Field) *yaml.Node {
	n := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		if f.bare != nil && f.bare() && !f.Required {
			continue
		}
		n.Content = append(n.Content, scalar(f.Name), f.encode())
	}
	return n
}

// Write encodes fields as YAML text; equal values give equal texts.
func Encode(fields []Field) ([]byte, error) {
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(EncodeNode(fields)); err != nil {
		return nil, errors.Wrap(err, "encode YAML")
	}
	if err := e.Close(); err != nil {
		return nil, errors.Wrap(err, "encode YAML")
	}
	return b.Bytes(), nil
}

// scalar leaves the tag empty, so that the encoder quotes only what would read back as another type.
func scalar(s string) *yaml.Node {
	return &yaml.Node{
		Kind:  yaml.ScalarNode,
		Value: s,
	}
}
