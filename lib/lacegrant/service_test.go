package lacegrant

import (
	"context"
	"sync"
	"testing"

	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// openLedger grants every Open in full and records its urgency.
type openLedger struct {
	laceledger.Ledger

	mu        sync.Mutex
	urgencies []laceledger.Urgency
	minTokens []laceunit.Tokens
}

func (l *openLedger) Append(_ context.Context, r laceledger.Record, u laceledger.Urgency) (laceledger.Verdict, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	v := laceledger.Verdict{Result: laceledger.Accepted}
	if o, ok := r.(laceledger.Open); ok {
		l.urgencies, l.minTokens = append(l.urgencies, u), append(l.minTokens, o.MinTokens)
		v.Granted, v.Offline, v.Available = o.Tokens, o.Offline, 1_000_000
	}
	return v, nil
}

// Guards against early top-ups that cost a platform write each, and against blocked requests whose Open is delayed for
// batching.
func TestOnlyBlockingOpensAreUrgent(t *testing.T) {
	holder := laceunit.Holder{Instance: "i", Incarnation: 1}
	ledger := &openLedger{}
	s := NewService(NewWallet(holder, DefaultPolicy(laceunit.ConsistencyAvailable)), ledger)
	for range 8 {
		if _, err := s.Reserve(t.Context(), testBudget, 10); err != nil {
			t.Fatal(err)
		}
		s.background.Wait()
	}
	if len(ledger.minTokens) < 2 || ledger.minTokens[0] == 0 || ledger.minTokens[1] != 0 {
		t.Fatalf("want a blocking Open and then an early top-up, got minimum amounts %v", ledger.minTokens)
	}
	for i, minTokens := range ledger.minTokens {
		want := laceledger.UrgencyNormal
		if minTokens > 0 {
			want = laceledger.UrgencyImmediate
		}
		if u := ledger.urgencies[i]; u != want {
			t.Errorf("Open with minimum amount %d has urgency %d", minTokens, u)
		}
	}
	if err := s.Close(); err != nil {
		t.Error(err)
	}
}
