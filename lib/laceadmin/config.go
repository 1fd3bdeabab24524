package laceadmin

import (
	"crypto/rand"
	"encoding/base64"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// maxHistory limits the number of records in one response.
const maxHistory = 200

func (s *Server) showConfig(c call) (any, error) {
	f, err := s.deps.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	text, err := laceconfig.EncodeFile(f)
	if err != nil {
		return nil, err
	}
	return Document{
		Version: uint64(f.Document.Version),
		Text:    string(text),
	}, nil
}

func (s *Server) planConfig(c call) (any, error) {
	p, err := decodeBody[Proposal](c)
	if err != nil {
		return nil, err
	}
	f, err := laceconfig.DecodeFile([]byte(p.Text))
	if err != nil {
		return nil, err
	}
	plan, err := s.deps.Configuration.Plan(c.Context(), f)
	if err != nil {
		return nil, err
	}
	return EditResult{
		Version: uint64(plan.Version),
		Changes: redactChanges(plan.Changes),
	}, nil
}

func (s *Server) applyConfig(c call) (any, error) {
	p, err := decodeBody[Proposal](c)
	if err != nil {
		return nil, err
	}
	if err = requireID(p.ID); err != nil {
		return nil, err
	}
	f, err := laceconfig.DecodeFile([]byte(p.Text))
	if err != nil {
		return nil, err
	}
	if f, err = s.restrictToPermitted(c, f); err != nil {
		return nil, err
	}
	r, err := s.deps.Configuration.Apply(c.Context(), laceconfig.Edit{
		ID:     p.ID,
		Author: c.operator.Name,
		Time:   s.deps.Now(),
		File:   f,
	})
	if err != nil {
		return nil, err
	}
	s.deps.OnEdit()
	return EditResult{
		Version:  uint64(r.Version),
		Repeated: r.Repeated,
		Changes:  redactChanges(r.Changes),
	}, nil
}

// restrictToPermitted returns the edit without the sections that the operator has no permission for. Such a section
// must be unmodified, otherwise the edit is forbidden. Removing it ensures that the edit can't revert a concurrent
// change of that section in this operator's name.
func (s *Server) restrictToPermitted(c call, f laceconfig.File) (laceconfig.File, error) {
	var permitted, forbidden []laceconfig.Section
	for _, n := range f.Sections {
		if c.operator.HasPermission(Permission(n)) {
			permitted = append(permitted, n)
		} else {
			forbidden = append(forbidden, n)
		}
	}
	if len(forbidden) == 0 {
		return f, nil
	}
	for _, n := range forbidden {
		unmodified, err := laceconfig.Unmodified(f, n)
		if err != nil {
			return f, err
		}
		if !unmodified {
			return f, c.requirePermission(Permission(n))
		}
	}
	f.Sections = permitted
	if len(permitted) == 0 {
		return f, c.requirePermission(Permission(forbidden[0]))
	}
	return f, nil
}

func (s *Server) history(c call) (any, error) {
	from, err := queryInt(c, "from", 0)
	if err != nil {
		return nil, err
	}
	limit, err := queryInt(c, "limit", 20)
	if err != nil {
		return nil, err
	}
	all, err := s.deps.Configuration.History(c.Context(), laceunit.Version(from), min(limit, maxHistory))
	if err != nil {
		return nil, err
	}
	h := History{
		Records: []Record{},
	}
	for _, r := range all {
		h.Records = append(h.Records, Record{
			Version: uint64(r.Version),
			EditID:  r.EditID,
			Author:  r.Author,
			Time:    r.Time,
			Changes: redactChanges(r.Changes),
		})
	}
	return h, nil
}

func queryInt(c call, name string, defaultValue int) (int, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, newFault(BadRequest, name+" must be a whole number, not negative")
	}
	return n, nil
}

func redactChanges(all []laceconfig.Change) []Change {
	list := make([]Change, 0, len(all))
	for _, c := range all {
		c = c.Redact()
		list = append(list, Change{
			Section: string(c.Section),
			Entry:   c.Entry,
			Before:  c.Before,
			After:   c.After,
		})
	}
	return list
}

func (s *Server) accounts(c call) (any, error) {
	f, err := s.deps.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	list := Accounts{
		Accounts: []Account{},
	}
	for _, id := range sortedKeys(f.Document.Accounts) {
		a := f.Document.Accounts[id]
		account := Account{
			ID:      string(id),
			Name:    a.Name,
			Keys:    []Key{},
			Budgets: toStrings(a.Budgets),
		}
		for _, k := range a.Keys {
			account.Keys = append(account.Keys, Key{
				Name:       k.Name,
				HashPrefix: k.Hash[:8],
				Budget:     string(k.Budget),
			})
		}
		list.Accounts = append(list.Accounts, account)
	}
	return list, nil
}

func (s *Server) rotate(c call) (any, error) {
	r, err := decodeBody[Rotation](c)
	if err != nil {
		return nil, err
	}
	if err = c.requirePermission(Permission(laceconfig.SectionAccounts)); err != nil {
		return nil, err
	}
	if err = requireID(r.ID); err != nil {
		return nil, err
	}
	if !laceyaml.IsID(r.Name) || (r.Hash != "" && !sha256Pattern.MatchString(r.Hash)) {
		return nil, newFault(BadRequest, "a key needs a name and, if a hash is given, 64 lower-case hexadecimal digits")
	}
	secret, id := "", laceunit.AccountID(c.PathValue("account"))
	if r.Hash == "" {
		if secret, err = NewKey(); err != nil {
			return nil, err
		}
		r.Hash = Hash(secret)
	}
	result, err := s.deps.Configuration.Amend(c.Context(), laceconfig.Amendment{
		ID:          r.ID,
		Author:      c.operator.Name,
		Time:        s.deps.Now(),
		Fingerprint: strings.Join(append([]string{"rotate", string(id), r.Name, r.Hash, r.Budget}, r.Drop...), "\n"),
		Section:     laceconfig.SectionAccounts,
		Mutate:      func(d laceconfig.Document) (laceconfig.Document, error) { return rotateKeys(d, id, r) },
	})
	if err != nil {
		return nil, err
	}
	s.deps.OnEdit()
	return RotationResult{
		Version:  uint64(result.Version),
		Repeated: result.Repeated,
		Key:      secret,
	}, nil
}

// rotateKeys returns the document with one key added and others removed.
func rotateKeys(d laceconfig.Document, id laceunit.AccountID, r Rotation) (laceconfig.Document, error) {
	a, ok := d.Accounts[id]
	if !ok {
		return d, newFault(NotFound, "no client account "+string(id))
	}
	var keys []laceconfig.Key
	removed := 0
	for _, k := range a.Keys {
		if slices.Contains(r.Drop, k.Name) {
			removed++
			continue
		}
		keys = append(keys, k)
	}
	if removed != len(r.Drop) {
		return d, newFault(NotFound, "client account "+string(id)+" lacks a key that should be dropped")
	}
	keys = append(keys, laceconfig.Key{
		Name:   r.Name,
		Hash:   r.Hash,
		Budget: laceunit.BudgetID(r.Budget),
	})
	a.Keys = keys
	d.Accounts = maps.Clone(d.Accounts)
	d.Accounts[id] = a
	return d, nil
}

// keyBytes is the number of random bytes in a key. A key of this size can't be guessed, so storing a plain SHA-256 of
// it is safe.
const keyBytes = 32

// NewKey returns a new random API key or operator token.
func NewKey() (string, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "new key")
	}
	return "lace-" + base64.RawURLEncoding.EncodeToString(b), nil
}

func (s *Server) servers(c call) (any, error) {
	f, err := s.deps.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	list := Servers{
		Servers: []BackendServer{},
	}
	for _, id := range sortedKeys(f.Document.Servers) {
		server := f.Document.Servers[id]
		list.Servers = append(list.Servers, BackendServer{
			ID:              string(id),
			Kind:            string(server.Kind),
			Address:         string(server.Address),
			Region:          string(server.Place.Region),
			Zone:            string(server.Place.Zone),
			Models:          toStrings(server.Models),
			Services:        toStrings(server.Services),
			Slots:           server.Slots,
			SupportsFencing: server.SupportsFencing,
			Leaving:         server.Leaving,
		})
	}
	return list, nil
}

func sortedKeys[K ~string, T any](m map[K]T) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}

func toStrings[T ~string](values []T) []string {
	list := make([]string, len(values))
	for i, s := range values {
		list[i] = string(s)
	}
	return list
}
