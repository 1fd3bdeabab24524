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

// maxHistory bounds the records of one answer.
const maxHistory = 200

func (s *Server) showConfig(c call) (any, error) {
	f, err := s.parts.Configuration.Show(c.Context())
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
	p, err := body[Proposal](c)
	if err != nil {
		return nil, err
	}
	f, err := laceconfig.DecodeFile([]byte(p.Text))
	if err != nil {
		return nil, err
	}
	plan, err := s.parts.Configuration.Plan(c.Context(), f)
	if err != nil {
		return nil, err
	}
	return EditResult{
		Version: uint64(plan.Version),
		Changes: changes(plan.Changes),
	}, nil
}

func (s *Server) applyConfig(c call) (any, error) {
	p, err := body[Proposal](c)
	if err != nil {
		return nil, err
	}
	if err = needID(p.ID); err != nil {
		return nil, err
	}
	f, err := laceconfig.DecodeFile([]byte(p.Text))
	if err != nil {
		return nil, err
	}
	if f, err = s.permitted(c, f); err != nil {
		return nil, err
	}
	r, err := s.parts.Configuration.Apply(c.Context(), laceconfig.Edit{
		ID:     p.ID,
		Author: c.operator.Name,
		Time:   s.parts.Now(),
		File:   f,
	})
	if err != nil {
		return nil, err
	}
	s.parts.OnEdit()
	return EditResult{
		Version:  uint64(r.Version),
		Repeated: r.Repeated,
		Changes:  changes(r.Changes),
	}, nil
}

// permitted checks the operator's rights. A file may repeat sections of others unchanged: they are left out of the
// edit, so that a change of theirs meanwhile can't be reverted under this operator's name.
func (s *Server) permitted(c call, f laceconfig.File) (laceconfig.File, error) {
	var mine, foreign []laceconfig.Section
	for _, n := range f.Sections {
		if c.operator.HasPermission(Permission(n)) {
			mine = append(mine, n)
		} else {
			foreign = append(foreign, n)
		}
	}
	if len(foreign) == 0 {
		return f, nil
	}
	for _, n := range foreign {
		same, err := laceconfig.Unmodified(f, n)
		if err != nil {
			return f, err
		}
		if !same {
			return f, c.need(Permission(n))
		}
	}
	f.Sections = mine
	if len(mine) == 0 {
		return f, c.need(Permission(foreign[0]))
	}
	return f, nil
}

func (s *Server) history(c call) (any, error) {
	from, err := number(c, "from", 0)
	if err != nil {
		return nil, err
	}
	limit, err := number(c, "limit", 20)
	if err != nil {
		return nil, err
	}
	all, err := s.parts.Configuration.History(c.Context(), laceunit.Version(from), min(limit, maxHistory))
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
			Changes: changes(r.Changes),
		})
	}
	return h, nil
}

func number(c call, name string, otherwise int) (int, error) {
	text := c.URL.Query().Get(name)
	if text == "" {
		return otherwise, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fault(BadRequest, name+" must be a whole number, not negative")
	}
	return n, nil
}

func changes(all []laceconfig.Change) []Change {
	list := make([]Change, 0, len(all))
	for _, x := range all {
		x = x.Redact()
		list = append(list, Change{
			Section: string(x.Section),
			Entry:   x.Entry,
			Before:  x.Before,
			After:   x.After,
		})
	}
	return list
}

func (s *Server) accounts(c call) (any, error) {
	f, err := s.parts.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	list := Accounts{
		Accounts: []Account{},
	}
	for _, id := range ids(f.Document.Accounts) {
		a := f.Document.Accounts[id]
		x := Account{
			ID:      string(id),
			Name:    a.Name,
			Keys:    []Key{},
			Budgets: texts(a.Budgets),
		}
		for _, k := range a.Keys {
			x.Keys = append(x.Keys, Key{
				Name:       k.Name,
				HashPrefix: k.Hash[:8],
				Budget:     string(k.Budget),
			})
		}
		list.Accounts = append(list.Accounts, x)
	}
	return list, nil
}

func (s *Server) rotate(c call) (any, error) {
	r, err := body[Rotation](c)
	if err != nil {
		return nil, err
	}
	if err = c.need(Permission(laceconfig.SectionAccounts)); err != nil {
		return nil, err
	}
	if err = needID(r.ID); err != nil {
		return nil, err
	}
	if !laceyaml.IsID(r.Name) || (r.Hash != "" && !tokenPattern.MatchString(r.Hash)) {
		return nil, fault(BadRequest, "a key needs a name and, if a hash is given, 64 lower-case hexadecimal digits")
	}
	secret, id := "", laceunit.AccountID(c.PathValue("account"))
	if r.Hash == "" {
		if secret, err = NewKey(); err != nil {
			return nil, err
		}
		r.Hash = Hash(secret)
	}
	result, err := s.parts.Configuration.Amend(c.Context(), laceconfig.Amendment{
		ID:          r.ID,
		Author:      c.operator.Name,
		Time:        s.parts.Now(),
		Fingerprint: strings.Join(append([]string{"rotate", string(id), r.Name, r.Hash, r.Budget}, r.Drop...), "\n"),
		Section:     laceconfig.SectionAccounts,
		Mutate:      func(d laceconfig.Document) (laceconfig.Document, error) { return withKey(d, id, r) },
	})
	if err != nil {
		return nil, err
	}
	s.parts.OnEdit()
	return RotationResult{
		Version:  uint64(result.Version),
		Repeated: result.Repeated,
		Key:      secret,
	}, nil
}

// withKey returns the document with a key added and others dropped.
func withKey(d laceconfig.Document, id laceunit.AccountID, r Rotation) (laceconfig.Document, error) {
	a, ok := d.Accounts[id]
	if !ok {
		return d, fault(NotFound, "no client account "+string(id))
	}
	var keys []laceconfig.Key
	dropped := 0
	for _, k := range a.Keys {
		if slices.Contains(r.Drop, k.Name) {
			dropped++
			continue
		}
		keys = append(keys, k)
	}
	if dropped != len(r.Drop) {
		return d, fault(NotFound, "client account "+string(id)+" lacks a key that should be dropped")
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

// keyBytes makes keys that can't be guessed, so that a plain SHA-256 of them is safe to store.
const keyBytes = 32

// NewKey returns a fresh API key or operator token.
func NewKey() (string, error) {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		return "", errors.Wrap(err, "new key")
	}
	return "lace-" + base64.RawURLEncoding.EncodeToString(b), nil
}

func (s *Server) servers(c call) (any, error) {
	f, err := s.parts.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	list := Servers{
		Servers: []BackendServer{},
	}
	for _, id := range ids(f.Document.Servers) {
		x := f.Document.Servers[id]
		list.Servers = append(list.Servers, BackendServer{
			ID:              string(id),
			Kind:            string(x.Kind),
			Address:         string(x.Address),
			Region:          string(x.Place.Region),
			Zone:            string(x.Place.Zone),
			Models:          texts(x.Models),
			Services:        texts(x.Services),
			Slots:           x.Slots,
			SupportsFencing: x.SupportsFencing,
			Leaving:         x.Leaving,
		})
	}
	return list, nil
}

func ids[K ~string, T any](m map[K]T) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}

func texts[T ~string](all []T) []string {
	list := make([]string, len(all))
	for i, x := range all {
		list[i] = string(x)
	}
	return list
}
