package lacequota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sebdah/goldie/v2"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Guards against a stored form that differs between versions of the program, and against fields missing from it.
func TestBudgetEncoding(t *testing.T) {
	budget := Budget{
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
	data, err := Encode(budget)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "page", data)
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(budget, decoded); d != "" {
		t.Error(d)
	}
}

// Guards against eras that are lost in the stored form, so that a budget counts as confirmed or as never restored.
func TestRestoredBudgetEncoding(t *testing.T) {
	after, err := laceplatform.NewRevision(2, 51)
	if err != nil {
		t.Fatal(err)
	}
	budget := Budget{
		Era:   2,
		After: after,
		Restored: Restored{
			Era:        2,
			From:       after - 2,
			After:      after - 1,
			ClosedCap:  6,
			ClosedUsed: 4,
		},
		Allocations: map[laceunit.Holder]Allocation{
			{Instance: "router-1", Incarnation: 42}: {
				Cap: 100,
				Era: 1,
			},
		},
	}
	data, err := Encode(budget)
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "restored", data)
	decoded, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(budget, decoded); d != "" {
		t.Error(d)
	}
}

// Guards against decoding an entry of a foreign writer as an empty budget, which would allocate all tokens again.
func TestDecodeRejectsForeignData(t *testing.T) {
	for _, text := range []string{"x", "[]", `{"holders":{"router":{}}}`, `{"holders":{"r/x":{}}}`, `{"budgets":{}}`} {
		if _, err := Decode([]byte(text)); err == nil {
			t.Errorf("%q was accepted", text)
		}
	}
}
