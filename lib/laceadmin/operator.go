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

// Permission authorizes an operator to make changes: to the section of the document that it names, or to what one of
// the constants below covers.
type Permission string

// The permissions other than those for sections.
const (
	// PermissionBudgets covers top-ups and the release of grants.
	PermissionBudgets Permission = "budgets"
	// PermissionMembers covers fencing and draining of instances.
	PermissionMembers Permission = "members"
)

// Permissions returns all permissions.
func Permissions() []Permission {
	var all []Permission
	for _, s := range laceconfig.Sections() {
		all = append(all, Permission(s))
	}
	return append(all, PermissionBudgets, PermissionMembers)
}

// Operator is a person or program that is authorized to use the API; every operator has read access.
type Operator struct {
	Name string
	// TokenHash is the SHA-256 of the bearer token in hexadecimal digits.
	TokenHash   string
	Permissions []Permission
}

// HasPermission reports whether the operator has a permission.
func (o Operator) HasPermission(p Permission) bool {
	for _, granted := range o.Permissions {
		if granted == p {
			return true
		}
	}
	return false
}

var sha256Pattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func operatorFields(o *Operator) []laceyaml.Field {
	known := map[string]bool{}
	var names []string
	for _, p := range Permissions() {
		known[string(p)] = true
		names = append(names, string(p))
	}
	return []laceyaml.Field{
		laceyaml.Match("token", "SHA-256 of the token.", "64 lower-case hexadecimal digits", &o.TokenHash,
			sha256Pattern.MatchString).Secret().AsRequired(),
		laceyaml.Strings("may", "What the operator may change.", "one of "+strings.Join(names, ", "), &o.Permissions,
			func(s string) bool { return known[s] }),
	}
}

// Operators holds the operators of a YAML file, keyed by the hash of their tokens.
type Operators struct {
	file    string
	current atomic.Pointer[map[string]Operator]
}

// NewOperators loads the operators from a file.
func NewOperators(file string) (*Operators, error) {
	o := &Operators{
		file: file,
	}
	return o, o.Reload()
}

// Reload reads the file again; if it is invalid, the previous operators stay in effect.
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

// DecodeOperators decodes operators from YAML and returns them by the hash of their tokens.
func DecodeOperators(text []byte) (map[string]Operator, error) {
	var listed map[string]Operator
	lines, faults := laceyaml.Decode(text, []laceyaml.Field{
		laceyaml.Map("operators", "Operators by name.", &listed, func() Operator { return Operator{} },
			operatorFields).AsRequired(),
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

// Authenticate returns the operator that a request's bearer token identifies.
func (o *Operators) Authenticate(r *http.Request) (Operator, bool) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	all := o.current.Load()
	if !ok || token == "" || all == nil {
		return Operator{}, false
	}
	found, ok := (*all)[Hash(token)]
	return found, ok
}

// Hash returns the SHA-256 in hexadecimal digits, the form in which keys and tokens are stored.
func Hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
