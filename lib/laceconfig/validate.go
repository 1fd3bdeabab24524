package laceconfig

import (
	"sort"
	"strconv"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Validate checks what no single value shows: references, and things that may be listed only once.
func Validate(d Document, lines laceyaml.Lines) laceyaml.Faults {
	v := validator{
		lines: lines,
	}
	v.accounts(d)
	v.servers(d)
	v.models(d)
	return v.faults
}

func asFaults(err error) laceyaml.Faults {
	var faults laceyaml.Faults
	if errors.As(err, &faults) {
		return faults
	}
	return laceyaml.Faults{{
		Expected: "a readable document",
		Found:    err.Error(),
	}}
}

type validator struct {
	lines  laceyaml.Lines
	faults laceyaml.Faults
}

func (v *validator) fail(path, expected, found string) {
	v.faults = append(v.faults, laceyaml.Fault{
		Line:     v.lines.Near(path),
		Path:     path,
		Expected: expected,
		Found:    found,
	})
}

func (v *validator) accounts(d Document) {
	owners := map[laceunit.BudgetID]string{}
	hashes := map[string]string{}
	for _, id := range sorted(d.Accounts) {
		a := d.Accounts[id]
		path := "accounts." + string(id)
		if len(a.Budgets) == 0 {
			v.fail(path+".budgets", "at least one budget", "")
		}
		own := map[laceunit.BudgetID]bool{}
		for i, b := range a.Budgets {
			at := path + ".budgets[" + strconv.Itoa(i) + "]"
			if other, ok := owners[b]; ok {
				v.fail(at, "a budget that is listed once; it is already listed under "+other, string(b))
			}
			owners[b] = path
			own[b] = true
		}
		v.keys(a, path, own, hashes)
	}
}

func (v *validator) keys(a Account, path string, own map[laceunit.BudgetID]bool, hashes map[string]string) {
	seen := map[string]bool{}
	for i, k := range a.Keys {
		at := path + ".keys[" + strconv.Itoa(i) + "]"
		if k.Name != "" && seen[k.Name] {
			v.fail(at+".name", "a key name that is listed once in the client account", k.Name)
		}
		seen[k.Name] = true
		// A hash leads to one client account only; two would let one pay for the other.
		if other, ok := hashes[k.Hash]; ok && k.Hash != "" {
			v.fail(at+".hash", "a hash that is listed once; it is already listed at "+other, "")
		}
		hashes[k.Hash] = at
		if k.Budget != "" && !own[k.Budget] {
			v.fail(at+".budget", "a budget of the same client account", string(k.Budget))
		}
	}
}

func (v *validator) servers(d Document) {
	addresses := map[laceunit.Address]string{}
	for _, id := range sorted(d.Servers) {
		s := d.Servers[id]
		path := "servers." + string(id)
		if other, ok := addresses[s.Address]; ok && s.Address != "" {
			v.fail(path+".address", "an address that is listed once; it is already listed under "+other, string(s.Address))
		}
		addresses[s.Address] = path
		for i, m := range s.Models {
			if _, ok := d.Models[m]; !ok {
				v.fail(path+".models["+strconv.Itoa(i)+"]", "a model listed under models", string(m))
			}
		}
		for i, n := range s.Services {
			if _, ok := d.Services[n]; !ok {
				v.fail(path+".services["+strconv.Itoa(i)+"]", "a service listed under services", string(n))
			}
		}
		switch {
		case s.Kind == KindEngine && len(s.Services) > 0:
			v.fail(path+".services", "no services on an engine", "")
		case s.Kind == KindService && len(s.Models) > 0:
			v.fail(path+".models", "no models on a plain service", "")
		case s.Kind == KindService && len(s.Services) == 0:
			v.fail(path+".services", "at least one service", "")
		}
	}
}

func (v *validator) models(d Document) {
	for _, id := range sorted(d.Models) {
		if m := d.Models[id]; m.ContextWindow > 0 && m.MaxOutput > m.ContextWindow {
			v.fail("models."+string(id)+".output", "at most the model's context of "+m.ContextWindow.String(), m.MaxOutput.String())
		}
	}
}

func sorted[K ~string, T any](m map[K]T) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
