package laceconfig

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"

	"github.com/pkg/errors"
)

// rename returns an amendment that renames one client account.
func rename(id, account, name string) Amendment {
	return Amendment{
		ID: id, Author: "op-" + id, Time: noon(), Fingerprint: account + " " + name, Section: SectionAccounts,
		Mutate: func(d Document) (Document, error) {
			d.Accounts = maps.Clone(d.Accounts)
			for k, a := range d.Accounts {
				if string(k) == account {
					a.Name = name
					d.Accounts[k] = a
				}
			}
			return d, nil
		},
	}
}

// Guards against amendments of one section that refuse or undo each other.
func TestAmendmentsRace(t *testing.T) {
	f, _ := seeded(t)
	accounts := []string{"bakery", "buyers", "dairy", "members"}
	var wg sync.WaitGroup
	for i, a := range accounts {
		wg.Go(func() {
			if _, err := NewStore(f).Amend(context.Background(), rename(fmt.Sprint("r", i), a, "new")); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	s := f.revive()
	snap, err := s.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for id, a := range snap.Document.Accounts {
		if want := strings.Contains(strings.Join(accounts, " "), string(id)); (a.Name == "new") != want {
			t.Errorf("client account %s is named %q", id, a.Name)
		}
	}
	audited(t, s)
}

// Guards against an amendment that is made twice, or refused as another one, after its answer was lost.
func TestAmendmentRepeated(t *testing.T) {
	for _, end := range []outcome{lost, dropped, crashAfter} {
		for n := 1; n < 8; n++ {
			f, s := seeded(t)
			f.script = func(i int) outcome {
				if i == n {
					return end
				}
				return passes
			}
			_, err := s.Amend(context.Background(), rename("mine", "bakery", "new"))
			if f.writes < n {
				break
			}
			if err != nil && !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrUnavailable) {
				t.Fatalf("outcome %d of write %d: %v", end, n, err)
			}
			s = f.revive()
			r, err := s.Amend(context.Background(), rename("mine", "bakery", "new"))
			if err != nil || r.Version != 2 {
				t.Fatalf("outcome %d of write %d: repeat %+v, %v", end, n, r, err)
			}
			if _, err = s.Amend(context.Background(), rename("then", "bakery", "later")); err != nil {
				t.Fatal(err)
			}
			if r, err = s.Amend(context.Background(), rename("mine", "bakery", "new")); err != nil || !r.Repeated || r.Version != 2 {
				t.Fatalf("outcome %d of write %d: repeat after another change %+v, %v", end, n, r, err)
			}
			if _, err = s.Amend(context.Background(), rename("mine", "bakery", "other")); !errors.Is(err, ErrEditIDReused) {
				t.Fatalf("got %v", err)
			}
		}
	}
}
