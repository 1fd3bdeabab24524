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
type Permission string

// The rights beside the sections.
const (
	// RightBudgets covers top-ups and the release of grants.
	PermissionBudgets Permission = "budgets"
	// RightMembers covers fencing and draining of instances.
	PermissionMembers Permission = "members"
)

// Rights returns every right.
func Permissions() []Permission {
	var all []Permission
	for _, s := range laceconfig.Sections() {
		all = append(all, Permission(s))
	}
	return append(all, PermissionBudgets, PermissionMembers)
}

// Operator is a person or program that may use the API; every operator may read.
type Operator struct {
	Name        string
	TokenHash   string
	Permissions []Permission
}

// May reports whether the operator has a right.
func (o Operator) HasPermission(r Permission) bool {
	for _, x := range o.Permissions {
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
	for _, r := range Permissions() {
		known[string(r)] = true
		names = append(names, string(r))
	}
	return []laceyaml.Field{
		laceyaml.Match("token", "SHA-256 of the token.", "64 lower-case hexadecimal digits", &o.TokenHash,
			tokenPattern.MatchString).Secret().AsRequired(),
		laceyaml.Strings("may", "What the operator may change.", "one of "+strings.Join(names, ", "), &o.Permissions,
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
	lines, faults := laceyaml.Decode(text, []laceyaml.Field{
		laceyaml.Map("operators", "Operators by name.", &listed, func() Operator { return Operator{} }, operatorFields).AsRequired(),
	})
	all := map[string]Operator{}
	for name, o := range listed {
		o.Name = name
		if _, ok := all[o.TokenHash]; ok && o.TokenHash != "" {
			faults = append(faults, laceyaml.Fault{
				Line:     lines.Near("operators." + name),
				Path:     "operators." + name + ".token",
				Expected: "a token that no other operator has",
			})
		}
		all[o.TokenHash] = o
	}
	return all, faults.Err()
}

// Find returns the operator of a request's bearer token.
func (o *Operators) Authenticate(r *http.Request) (Operator, bool) {
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
