package lacequarantine

import "lacewingcove/lib/laceunit"

const (
	// MaxParts bounds how many parts of a request are considered. Callers choose the header that lists them.
	MaxParts = 64
	// MaxIDBytes bounds the length of the id of a part.
	MaxIDBytes = 64
)

// Part is a part of a prompt that several requests share.
type Part struct {
	Model laceunit.ModelID
	// ID identifies the content of the part.
	ID string
}

// String returns the part as it appears in logs.
func (p Part) String() string { return string(p.Model) + "/" + p.ID }

// Format returns parts as they appear in logs.
func Format(parts []Part) []string {
	list := make([]string, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.String())
	}
	return list
}
