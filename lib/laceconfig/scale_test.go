package laceconfig

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// large returns a document of the design scale: 6,800 client accounts with 21,000 budgets.
func large() Document {
	d := Default()
	next := 0
	for i := range 6800 {
		a := Account{Name: fmt.Sprintf("Client account number %d", i)}
		for range 3 + i%2*(i%11/10) {
			a.Budgets = append(a.Budgets, laceunit.BudgetID(fmt.Sprintf("budget-%05d", next)))
			next++
		}
		for k := range 2 {
			a.Keys = append(a.Keys, Key{Name: fmt.Sprint("key-", k), Hash: fmt.Sprintf("%064x", i*2+k+1)})
		}
		d.Accounts[laceunit.AccountID(fmt.Sprintf("account-%04d", i))] = a
	}
	for n := next; n < 21000; n++ {
		a := d.Accounts["account-0000"]
		a.Budgets = append(a.Budgets, laceunit.BudgetID(fmt.Sprintf("budget-%05d", n)))
		d.Accounts["account-0000"] = a
	}
	return d
}

// Guards against values over the platform's limit, and against rewriting a whole section for one entry.
func TestDesignScale(t *testing.T) {
	f := newFake()
	s := NewStore(f)
	d := large()
	e := Edit{ID: "import", Author: "op-import", Time: noon(), File: File{Document: d, Sections: Sections()}}
	if _, err := s.Apply(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	snap, err := NewStore(f).Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	snap.Document.Version = 0
	if diff := cmp.Diff(d.Accounts, snap.Document.Accounts); diff != "" {
		t.Fatal(diff)
	}
	t.Logf("import: %d writes, largest value %d bytes", f.writes, f.largest)
	if f.largest > laceplatform.MaxValueBytes {
		t.Fatalf("value of %d bytes", f.largest)
	}
	a := d.Accounts["account-0100"]
	a.Name = "Renamed"
	next := large()
	next.Accounts["account-0100"] = a
	f.writes, f.largest = 0, 0
	e = Edit{ID: "one", Author: "op-one", Time: noon(), File: File{Document: next, Sections: Sections(), Base: snap.VersionStamps()}}
	if _, err = s.Apply(context.Background(), e); err != nil {
		t.Fatal(err)
	}
	t.Logf("one account: %d writes, largest value %d bytes", f.writes, f.largest)
	h, err := s.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	for d := range bodies(h.Sections) {
		if _, ok := f.values[bodyKey(d)]; !ok {
			t.Fatalf("body %s is gone", d)
		}
	}
	if f.writes > 6 || f.largest > 4*partBytes {
		t.Fatalf("one account took %d writes, the largest of %d bytes", f.writes, f.largest)
	}
}
