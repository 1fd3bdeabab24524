package lacenode

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// testProposal is a proposal in which all fields differ.
func testProposal() lacequota.Proposal {
	return lacequota.Proposal{
		Account: "coop",
		Sender: lacequota.Sender{
			Holder:    laceunit.Holder{Instance: "router-1", Incarnation: 7},
			StartedAt: instant("boot", 1_000),
		},
		Least:   20,
		Floor:   30,
		Want:    90,
		Need:    11,
		Used:    12,
		Rate:    13,
		Ceiling: 60,
		SentAt:  instant("boot", 2_345),
		Fresh:   true,
		Paid:    1_000,
		Version: 3,
		Era:     5,
		Restate: true,
	}
}

func toMessage(p lacequota.Proposal) *lacewire.BudgetProposals {
	return &lacewire.BudgetProposals{
		Group:       "0/1",
		Instance:    string(p.Sender.Holder.Instance),
		Incarnation: uint64(p.Sender.Holder.Incarnation),
		Boot:        p.Sender.StartedAt.BootID,
		StartedMs:   p.Sender.StartedAt.SinceBoot.Milliseconds(),
		Proposals:   []*lacewire.BudgetProposal{fromProposal(p)},
	}
}

// Guards against a field of a proposal or an answer that is lost or mixed up on the wire.
func TestBudgetMessages(t *testing.T) {
	p := testProposal()
	list, ok := toProposals(toMessage(p))
	if !ok {
		t.Fatal("a valid proposal was rejected")
	}
	if d := cmp.Diff([]lacequota.Proposal{p}, list); d != "" {
		t.Error(d)
	}
	a := lacequota.Answer{
		Era:     6,
		Outcome: lacequota.OutcomeUnavailable,
		Standing: lacequota.Standing{
			Own:        lacequota.Allocation{Cap: 1, Used: 2, Ceiling: 3, SentAt: instant("boot", 4)},
			Found:      true,
			Committed:  5,
			Spent:      6,
			Lost:       7,
			OthersRate: 8,
			Paid:       9,
			Version:    10,
		},
		Shortage: true,
		Lenders:  []laceunit.InstanceID{"router-2", "router-3"},
	}
	if d := cmp.Diff(a, toAnswer(fromAnswer(a), "boot")); d != "" {
		t.Error(d)
	}
}

// Guards against a malformed proposal that would store a cap below what its sender has spent, or overflow a sum.
func TestMalformedProposalsAreRejected(t *testing.T) {
	for name, change := range map[string]func(*lacewire.BudgetProposals){
		"no account":         func(m *lacewire.BudgetProposals) { m.Proposals[0].Account = "" },
		"no boot":            func(m *lacewire.BudgetProposals) { m.Boot = "" },
		"used above least":   func(m *lacewire.BudgetProposals) { m.Proposals[0].Used = 21 },
		"least above floor":  func(m *lacewire.BudgetProposals) { m.Proposals[0].Least = 31 },
		"floor above want":   func(m *lacewire.BudgetProposals) { m.Proposals[0].Floor = 91 },
		"negative need":      func(m *lacewire.BudgetProposals) { m.Proposals[0].Need = -1 },
		"too many tokens":    func(m *lacewire.BudgetProposals) { m.Proposals[0].Want = 1 << 60 },
		"close with a rest":  func(m *lacewire.BudgetProposals) { m.Proposals[0].Close = true },
		"too many proposals": func(m *lacewire.BudgetProposals) { m.Proposals = make([]*lacewire.BudgetProposal, 65) },
	} {
		m := toMessage(testProposal())
		change(m)
		if _, ok := toProposals(m); ok {
			t.Errorf("%s: accepted", name)
		}
	}
}
