package lacenode

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacequota"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

const (
	// maxProposals bounds the proposals in a call; a group has at most 16 accounts.
	maxProposals = 64
	// maxProposalDelay bounds the delay that a caller may ask for.
	maxProposalDelay = 5 * time.Second
	// maxProposalTokens bounds the tokens in a message, so that sums of them do not overflow.
	maxProposalTokens = 1 << 53
)

// newCombination returns how updates of budgets are combined; the zero value means not at all.
func (n *Node) newCombination() lacequota.Combination {
	if n.settings.Quota.Combine == CombineOff {
		return lacequota.Combination{}
	}
	return lacequota.Combination{
		Writers: n.directory,
		Proposer: &proposalClient{
			node: n,
			// The deadline of each call is that of its context.
			client: &http.Client{Transport: peerTransport(&n.monitor.controlTraffic)},
		},
	}
}

// proposalClient sends proposals to the writers of budgets.
type proposalClient struct {
	node   *Node
	client *http.Client
}

// Propose implements lacequota.Proposer.
func (c *proposalClient) Propose(
	ctx context.Context, writer laceunit.InstanceID, group lacequota.GroupID, proposals []lacequota.Proposal,
	within time.Duration,
) ([]lacequota.Answer, error) {
	address, ok := c.node.directory.PeerAddress(writer)
	if !ok {
		return nil, lacequota.ErrWriter
	}
	sender := proposals[0].Sender
	m := &lacewire.BudgetProposals{
		Group:       string(group),
		Instance:    string(sender.Holder.Instance),
		Incarnation: uint64(sender.Holder.Incarnation),
		Boot:        sender.StartedAt.BootID,
		StartedMs:   (sender.StartedAt.SinceBoot + time.Millisecond - 1).Milliseconds(),
		WithinMs:    within.Milliseconds(),
	}
	for _, p := range proposals {
		m.Proposals = append(m.Proposals, fromProposal(p))
	}
	response, err := lacewire.NewBudgetWriterProtobufClient("http://"+string(address), c.client).Propose(ctx, m)
	if err != nil {
		return nil, errors.Wrap(lacequota.ErrWriter, err.Error())
	}
	answers := make([]lacequota.Answer, 0, len(response.GetAnswers()))
	for _, a := range response.GetAnswers() {
		answers = append(answers, toAnswer(a, sender.StartedAt.BootID))
	}
	return answers, nil
}

func fromProposal(p lacequota.Proposal) *lacewire.BudgetProposal {
	return &lacewire.BudgetProposal{
		Account: string(p.Account),
		Least:   int64(p.Least),
		Floor:   int64(p.Floor),
		Want:    int64(p.Want),
		Need:    int64(p.Need),
		Used:    int64(p.Used),
		Rate:    int64(p.Rate),
		Ceiling: int64(p.Ceiling),
		SentMs:  p.SentAt.SinceBoot.Milliseconds(),
		Fresh:   p.Fresh,
		Close:   p.Close,
		Paid:    int64(p.Paid),
		Version: uint64(p.Version),
		Era:     int64(p.Era),
		Restate: p.Restate,
	}
}

func toAnswer(a *lacewire.BudgetAnswer, bootID string) lacequota.Answer {
	x := lacequota.Answer{
		Outcome: lacequota.Outcome(a.GetOutcome()),
		Standing: lacequota.Standing{
			Own: lacequota.Allocation{
				Cap:     laceunit.Tokens(a.GetCap()),
				Used:    laceunit.Tokens(a.GetUsed()),
				Ceiling: laceunit.Tokens(a.GetCeiling()),
				SentAt:  instant(bootID, a.GetSentMs()),
			},
			Found:      a.GetFound(),
			Committed:  laceunit.Tokens(a.GetCommitted()),
			Spent:      laceunit.Tokens(a.GetSpent()),
			Lost:       laceunit.Tokens(a.GetLost()),
			OthersRate: laceunit.Tokens(a.GetOthersRate()),
			Paid:       laceunit.Tokens(a.GetPaid()),
			Version:    laceunit.Version(a.GetVersion()),
		},
		Shortage: a.GetShortage(),
		Era:      laceplatform.Era(a.GetEra()),
	}
	for _, id := range a.GetLenders() {
		x.Lenders = append(x.Lenders, laceunit.InstanceID(id))
	}
	return x
}

// instant returns an instant on the boot clock of a machine.
func instant(bootID string, milliseconds int64) lacequota.Instant {
	return lacequota.Instant{
		BootID:    bootID,
		SinceBoot: time.Duration(milliseconds) * time.Millisecond,
	}
}

// budgetServer serves the proposals of other instances.
type budgetServer struct {
	node *Node
}

// Propose implements lacewire.BudgetWriter.
func (b budgetServer) Propose(ctx context.Context, m *lacewire.BudgetProposals) (*lacewire.BudgetAnswers, error) {
	w := b.node.quota.Writer()
	if w == nil {
		return nil, twirp.NewError(twirp.Unavailable, "this instance writes no budgets")
	}
	proposals, ok := toProposals(m)
	within := time.Duration(m.GetWithinMs()) * time.Millisecond
	if !ok || within < 0 || within > maxProposalDelay {
		b.node.rejectMessage("budget proposals", m.GetInstance())
		return nil, twirp.NewError(twirp.InvalidArgument, "malformed proposals")
	}
	answers, err := w.Propose(ctx, lacequota.GroupID(m.GetGroup()), proposals, within)
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	response := &lacewire.BudgetAnswers{}
	for _, a := range answers {
		response.Answers = append(response.Answers, fromAnswer(a))
	}
	return response, nil
}

// toProposals returns the proposals of a message, false if one of them is malformed.
func toProposals(m *lacewire.BudgetProposals) ([]lacequota.Proposal, bool) {
	sender := lacequota.Sender{
		Holder: laceunit.Holder{
			Instance:    laceunit.InstanceID(m.GetInstance()),
			Incarnation: laceunit.Incarnation(m.GetIncarnation()),
		},
		StartedAt: instant(m.GetBoot(), m.GetStartedMs()),
	}
	if m.GetInstance() == "" || m.GetBoot() == "" || m.GetGroup() == "" || len(m.GetProposals()) > maxProposals {
		return nil, false
	}
	list := make([]lacequota.Proposal, 0, len(m.GetProposals()))
	for _, p := range m.GetProposals() {
		valid := p.GetAccount() != "" && 0 <= p.GetUsed() && p.GetUsed() <= p.GetLeast() && p.GetLeast() <= p.GetFloor() &&
			p.GetFloor() <= p.GetWant() && p.GetWant() < maxProposalTokens && p.GetNeed() >= 0 &&
			p.GetNeed() < maxProposalTokens && p.GetRate() >= 0 && p.GetCeiling() >= 0 && p.GetPaid() >= 0 &&
			p.GetPaid() < maxProposalTokens && laceplatform.Era(p.GetEra()).Valid() && (!p.GetClose() || p.GetWant() == p.GetUsed())
		if !valid {
			return nil, false
		}
		list = append(list, lacequota.Proposal{
			Account: laceunit.AccountID(p.GetAccount()),
			Sender:  sender,
			Least:   laceunit.Tokens(p.GetLeast()),
			Floor:   laceunit.Tokens(p.GetFloor()),
			Want:    laceunit.Tokens(p.GetWant()),
			Need:    laceunit.Tokens(p.GetNeed()),
			Used:    laceunit.Tokens(p.GetUsed()),
			Rate:    laceunit.Tokens(p.GetRate()),
			Ceiling: laceunit.Tokens(p.GetCeiling()),
			SentAt:  instant(m.GetBoot(), p.GetSentMs()),
			Fresh:   p.GetFresh(),
			Close:   p.GetClose(),
			Paid:    laceunit.Tokens(p.GetPaid()),
			Version: laceunit.Version(p.GetVersion()),
			Era:     laceplatform.Era(p.GetEra()),
			Restate: p.GetRestate(),
		})
	}
	return list, true
}

func fromAnswer(a lacequota.Answer) *lacewire.BudgetAnswer {
	m := &lacewire.BudgetAnswer{
		Outcome:    lacewire.BudgetAnswer_Outcome(a.Outcome),
		Found:      a.Standing.Found,
		Cap:        int64(a.Standing.Own.Cap),
		Used:       int64(a.Standing.Own.Used),
		Ceiling:    int64(a.Standing.Own.Ceiling),
		SentMs:     a.Standing.Own.SentAt.SinceBoot.Milliseconds(),
		Committed:  int64(a.Standing.Committed),
		Spent:      int64(a.Standing.Spent),
		Lost:       int64(a.Standing.Lost),
		OthersRate: int64(a.Standing.OthersRate),
		Paid:       int64(a.Standing.Paid),
		Version:    uint64(a.Standing.Version),
		Shortage:   a.Shortage,
		Era:        int64(a.Era),
	}
	for _, id := range a.Lenders {
		m.Lenders = append(m.Lenders, string(id))
	}
	return m
}
