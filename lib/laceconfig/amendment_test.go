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

// renameAccount returns an amendment that renames one client account.
func renameAccount(id, account, name string) Amendment {
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

// Guards against concurrent amendments of one section that conflict with or revert each other.
func TestConcurrentAmendmentsMerge(t *testing.T) {
	f, _ := newSeededStore(t)
	accounts := []string{"bakery", "buyers", "dairy", "members"}
	var wg sync.WaitGroup
	for i, a := range accounts {
		wg.Go(func() {
			if _, err := NewStore(f).Amend(context.Background(),
				renameAccount(fmt.Sprint("r", i), a, "new")); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	s := f.restart()
	snap, err := s.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for id, a := range snap.Document.Accounts {
		if want := strings.Contains(strings.Join(accounts, " "), string(id)); (a.Name == "new") != want {
			t.Errorf("client account %s is named %q", id, a.Name)
		}
	}
	checkHistory(t, s)
}

// Guards against an amendment that is applied twice, or rejected as a different one, when it is retried after its
// response was lost.
func TestRepeatedAmendmentIsAppliedOnce(t *testing.T) {
	for _, result := range []outcome{appliedUnknown, discardedUnknown, crashAfter} {
		for n := 1; n < 8; n++ {
			f, s := newSeededStore(t)
			f.script = func(i int) outcome {
				if i == n {
					return result
				}
				return succeeds
			}
			_, err := s.Amend(context.Background(), renameAccount("mine", "bakery", "new"))
			if f.writes < n {
				break
			}
			if err != nil && !errors.Is(err, ErrUnknown) && !errors.Is(err, ErrUnavailable) {
				t.Fatalf("outcome %d of write %d: %v", result, n, err)
			}
			s = f.restart()
			r, err := s.Amend(context.Background(), renameAccount("mine", "bakery", "new"))
			if err != nil || r.Version != 2 {
				t.Fatalf("outcome %d of write %d: repeat %+v, %v", result, n, r, err)
			}
			if _, err = s.Amend(context.Background(), renameAccount("then", "bakery", "later")); err != nil {
				t.Fatal(err)
			}
			if r, err = s.Amend(context.Background(), renameAccount("mine", "bakery", "new")); err != nil ||
				!r.Repeated || r.Version != 2 {
				t.Fatalf("outcome %d of write %d: repeat after another change %+v, %v", result, n, r, err)
			}
			if _, err = s.Amend(context.Background(),
				renameAccount("mine", "bakery", "other")); !errors.Is(err, ErrEditIDReused) {
				t.Fatalf("got %v", err)
			}
		}
	}
}
