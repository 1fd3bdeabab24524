package laceconfig

import (
	"sort"
	"strconv"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Validate checks constraints across values: references between sections and uniqueness.
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

func (v *validator) addFault(path, expected, found string) {
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
	for _, id := range sortedKeys(d.Accounts) {
		a := d.Accounts[id]
		path := "accounts." + string(id)
		if len(a.Budgets) == 0 {
			v.addFault(path+".budgets", "at least one budget", "")
		}
		ownBudgets := map[laceunit.BudgetID]bool{}
		for i, b := range a.Budgets {
			itemPath := path + ".budgets[" + strconv.Itoa(i) + "]"
			if other, ok := owners[b]; ok {
				v.addFault(itemPath, "a budget that is listed once; it is already listed under "+other, string(b))
			}
			owners[b] = path
			ownBudgets[b] = true
		}
		v.keys(a, path, ownBudgets, hashes)
	}
}

func (v *validator) keys(a Account, path string, ownBudgets map[laceunit.BudgetID]bool, hashes map[string]string) {
	names := map[string]bool{}
	for i, k := range a.Keys {
		keyPath := path + ".keys[" + strconv.Itoa(i) + "]"
		if k.Name != "" && names[k.Name] {
			v.addFault(keyPath+".name", "a key name that is listed once in the client account", k.Name)
		}
		names[k.Name] = true
		// A key hash identifies a single client account; a duplicate would charge one account for the requests of another.
		if other, ok := hashes[k.Hash]; ok && k.Hash != "" {
			v.addFault(keyPath+".hash", "a hash that is listed once; it is already listed at "+other, "")
		}
		hashes[k.Hash] = keyPath
		if k.Budget != "" && !ownBudgets[k.Budget] {
			v.addFault(keyPath+".budget", "a budget of the same client account", string(k.Budget))
		}
	}
}

func (v *validator) servers(d Document) {
	addresses := map[laceunit.Address]string{}
	for _, id := range sortedKeys(d.Servers) {
		s := d.Servers[id]
		path := "servers." + string(id)
		if other, ok := addresses[s.Address]; ok && s.Address != "" {
			v.addFault(path+".address", "an address that is listed once; it is already listed under "+other, string(s.Address))
		}
		addresses[s.Address] = path
		for i, m := range s.Models {
			if _, ok := d.Models[m]; !ok {
				v.addFault(path+".models["+strconv.Itoa(i)+"]", "a model listed under models", string(m))
			}
		}
		for i, n := range s.Services {
			if _, ok := d.Services[n]; !ok {
				v.addFault(path+".services["+strconv.Itoa(i)+"]", "a service listed under services", string(n))
			}
		}
		switch {
		case s.Kind == KindEngine && len(s.Services) > 0:
			v.addFault(path+".services", "no services on an engine", "")
		case s.Kind == KindService && len(s.Models) > 0:
			v.addFault(path+".models", "no models on a plain service", "")
		case s.Kind == KindService && len(s.Services) == 0:
			v.addFault(path+".services", "at least one service", "")
		}
	}
}

func (v *validator) models(d Document) {
	for _, id := range sortedKeys(d.Models) {
		if m := d.Models[id]; m.ContextWindow > 0 && m.MaxOutput > m.ContextWindow {
			v.addFault("models."+string(id)+".output",
				"at most the model's context of "+m.ContextWindow.String(), m.MaxOutput.String())
		}
	}
}

func sortedKeys[K ~string, T any](m map[K]T) []K {
	all := make([]K, 0, len(m))
	for k := range m {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool { return all[i] < all[j] })
	return all
}
