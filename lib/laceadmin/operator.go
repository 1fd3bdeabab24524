package laceadmin

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"os"
	"regexp"
	"strings"
	"sync/atomic"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceyaml"
)

// Right is what an operator may change: a section of the document, or one of the rights below.
type Right string

// The rights beside the sections.
const (
	// RightBudgets covers top-ups and the release of grants.
	RightBudgets Right = "budgets"
	// RightMembers covers fencing and draining of instances.
	RightMembers Right = "members"
)

// Rights returns every right.
func Rights() []Right {
	var all []Right
	for _, s := range laceconfig.Sections() {
		all = append(all, Right(s))
	}
	return append(all, RightBudgets, RightMembers)
}

// Operator is a person or program that may use the API; every operator may read.
type Operator struct {
	Name   string
	Token  string
	Rights []Right
}

// May reports whether the operator has a right.
func (o Operator) May(r Right) bool {
	for _, x := range o.Rights {
		if x == r {
			return true
		}
	}
	return false
}

var tokenPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func operatorFields(o *Operator) []laceyaml.Field {
	known := map[string]bool{}
	var names []string
	for _, r := range Rights() {
		known[string(r)] = true
		names = append(names, string(r))
	}
	return []laceyaml.Field{
		laceyaml.Match("token", "SHA-256 of the token.", "64 lower-case hexadecimal digits", &o.Token,
			tokenPattern.MatchString).Secret().Must(),
		laceyaml.Strings("may", "What the operator may change.", "one of "+strings.Join(names, ", "), &o.Rights,
			func(s string) bool { return known[s] }),
	}
}

// Operators are the operators of a YAML file, by the hash of their tokens.
type Operators struct {
	file    string
	current atomic.Pointer[map[string]Operator]
}

// NewOperators reads a file of operators.
func NewOperators(file string) (*Operators, error) {
	o := &Operators{
		file: file,
	}
	return o, o.Reload()
}

// Reload reads the file again; when it can't be used the former operators stay.
func (o *Operators) Reload() error {
	text, err := os.ReadFile(o.file)
	if err != nil {
		return errors.Wrap(err, "operators")
	}
	all, err := DecodeOperators(text)
	if err != nil {
		return errors.Wrap(err, o.file)
	}
	o.current.Store(&all)
	return nil
}

// DecodeOperators reads the operators of a YAML text, by the hash of their tokens.
func DecodeOperators(text []byte) (map[string]Operator, error) {
	var listed map[string]Operator
	lines, faults := laceyaml.Read(text, []laceyaml.Field{
		laceyaml.Map("operators", "Operators by name.", &listed, func() Operator { return Operator{} }, operatorFields).Must(),
	})
	all := map[string]Operator{}
	for name, o := range listed {
		o.Name = name
		if _, ok := all[o.Token]; ok && o.Token != "" {
			faults = append(faults, laceyaml.Fault{
				Line:     lines.Near("operators." + name),
				Path:     "operators." + name + ".token",
				Expected: "a token that no other operator has",
			})
		}
		all[o.Token] = o
	}
	return all, faults.Err()
}

// Find returns the operator of a request's bearer token.
func (o *Operators) Find(r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	all := o.current.Load()
	if !ok || token == "" || all == nil {
		return Operator{}, false
	}
	found, ok := (*all)[Hash(token)]
	return found, ok
}

// Hash returns the form in which keys and tokens are stored.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
