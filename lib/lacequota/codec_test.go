package lacequota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceunit"
)

// Guards against a stored form that differs between versions of the program, and against fields that are lost in it.
func TestPageForm(t *testing.T) {
	page := Budget{
		ClosedCap:  7,
		ClosedUsed: 5,
		Paid:       1_000,
		Version:    3,
		Allocations: map[laceunit.Holder]Allocation{
			{Instance: "router-1", Incarnation: 42}: {
				Cap:     100,
				Used:    10,
				Rate:    4,
				Ceiling: 40,
				SentAt: Instant{
					BootID:    "b0",
					SinceBoot: 1500 * time.Millisecond,
				},
			},
		},
	}
	text, err := Encode(page)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "page", text)
	read, err := Decode(text)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(page, read); d != "" {
		t.Error(d)
	}
}

// Guards against a page of another writer that is taken for an empty one, which would hand everything out again.
func TestForeignPages(t *testing.T) {
	for _, text := range []string{"x", "[]", `{"holders":{"router":{}}}`, `{"holders":{"r/x":{}}}`, `{"budgets":{}}`} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%q was read", text)
		}
	}
}
