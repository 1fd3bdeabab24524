package laceyaml

import (
	"bytes"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// EncodeNode encodes fields in schema order and omits empty optional values.
func EncodeNode(fields []Field) *yaml.Node {
	n := &yaml.Node{Kind: yaml.MappingNode}
	for _, f := range fields {
		if f.isEmpty != nil && f.isEmpty() && !f.Required {
			continue
		}
		n.Content = append(n.Content, scalarNode(f.Name), f.encode())
	}
	return n
}

// Encode encodes fields as YAML text; the output is deterministic.
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

// scalarNode leaves the tag empty, so that the encoder quotes only values that would otherwise decode as another type.
func scalarNode(s string) *yaml.Node {
	return &yaml.Node{
		Kind:  yaml.ScalarNode,
		Value: s,
	}
}
