package lacegrant

import (
	"context"
	"sync"
	"testing"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// openLedger grants every Open in full and notes its urgency.
type openLedger struct {
	laceledger.Ledger

	mu        sync.Mutex
	urgencies []laceledger.Urgency
	least     []laceunit.Tokens
}

func (l *openLedger) Append(_ context.Context, r laceledger.Record, u laceledger.Urgency) (laceledger.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := laceledger.Verdict{Result: laceledger.Accepted}
	if o, ok := r.(laceledger.Open); ok {
		l.urgencies, l.least = append(l.urgencies, u), append(l.least, o.MinTokens)
		v.Granted, v.Offline, v.Available = o.Tokens, o.Offline, 1_000_000
	}
	return v, nil
}

// Guards against early top-ups that cost a platform write each, and against requests that wait for company.
func TestOnlyAwaitedOpensAreUrgent(t *testing.T) {
	holder := laceunit.Holder{Instance: "i", Incarnation: 1}
	ledger := &openLedger{}
	s := NewService(NewWallet(holder, DefaultPolicy(laceunit.ConsistencyAvailable)), ledger)
	for range 8 {
		if _, err := s.Reserve(t.Context(), testBudget, 10); err != nil {
			t.Fatal(err)
		}
		s.tasks.Wait()
	}
	if len(ledger.least) < 2 || ledger.least[0] == 0 || ledger.least[1] != 0 {
		t.Fatalf("want an awaited Open and then an early one, got least amounts %v", ledger.least)
	}
	for i, least := range ledger.least {
		want := laceledger.UrgencyNormal
		if least > 0 {
			want = laceledger.UrgencyImmediate
		}
		if u := ledger.urgencies[i]; u != want {
			t.Errorf("Open with least amount %d has urgency %d", least, u)
		}
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
