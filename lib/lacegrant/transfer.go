package lacegrant

import (
	"slices"
	"strconv"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// maxGiven bounds the transfers that are remembered for repeated transfer requests. A transfer request that was
	// forgotten deducts once more, and the receiver takes one transfer for each transfer request, so that only
	// availability suffers.
	maxGiven = 1024
	// maxTransfers bounds the transfers of a holding; each has tokens for one ceiling at first.
	maxTransfers = 64
	// requestPause is the least time between a transfer request that brought nothing and the next one of the same budget.
	requestPause = time.Second
)

// TransferRequest asks another instance for tokens of the offline part of its grant.
type TransferRequest struct {
	From   laceunit.Holder
	Budget laceunit.BudgetID
	Tokens laceunit.Tokens
	// ID is the same when the transfer request is repeated because its answer was lost.
	ID string
}

// Transfer is what a giver has deducted; it is spent under the giver's grant and with the grant's witnesses.
type Transfer struct {
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	Witnesses []laceunit.Holder
}

// transfer is what is left of a received transfer.
type transfer struct {
	Transfer
	live int
}

type givenKey struct {
	from laceunit.Holder
	id   string
}

// given are the latest transfers, oldest first.
type given struct {
	keys      []givenKey
	transfers map[givenKey]Transfer
}

func (g *given) add(key givenKey, x Transfer) {
	if g.transfers == nil {
		g.transfers = map[givenKey]Transfer{}
	}
	if len(g.keys) == maxGiven {
		delete(g.transfers, g.keys[0])
		g.keys = g.keys[1:]
	}
	g.keys = append(g.keys, key)
	g.transfers[key] = x
}

// Give answers a transfer request; a repeated one gets the same transfer. Nothing is given when the grant names no
// witness beside the receiver, because the receiver's spend has to be copied to one.
func (w *Wallet) HandleTransferRequest(transferRequest TransferRequest) (Transfer, bool) {
	key := givenKey{
		from: transferRequest.From,
		id:   transferRequest.ID,
	}
	if g, ok := w.given.transfers[key]; ok {
		return g, true
	}
	p, ok := w.holdings[transferRequest.Budget]
	if !ok || transferRequest.Tokens <= 0 || !slices.ContainsFunc(p.witnesses, func(h laceunit.Holder) bool { return h != transferRequest.From }) {
		return Transfer{}, false
	}
	r, ok := w.DeductTransfer(transferRequest.Budget, transferRequest.Tokens)
	if !ok {
		return Transfer{}, false
	}
	g := Transfer{
		Grant:     r.Grant,
		Holder:    w.holder,
		Tokens:    r.Ceiling,
		Witnesses: slices.Clone(p.witnesses),
	}
	w.given.add(key, g)
	return g, true
}

// HandOver deducts tokens of the offline part for another instance; the receiver spends them under this grant.
func (w *Wallet) DeductTransfer(budget laceunit.BudgetID, tokens laceunit.Tokens) (Reservation, bool) {
	p, ok := w.holdings[budget]
	if !ok || p.grant == "" {
		return Reservation{}, false
	}
	if p.offline()/2 < tokens {
		return Reservation{}, false
	}
	p.free -= tokens
	p.spent += tokens
	p.gave = true
	return Reservation{
		Budget:  budget,
		Grant:   p.grant,
		Ceiling: tokens,
		Offline: true,
	}, true
}

// RequestTransfer returns the transfer request with which a ceiling can be reserved offline, or none when no transfer
// request may be made now. One transfer request of a budget is under way at a time, until Received or Refused.
func (w *Wallet) RequestTransfer(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (TransferRequest, bool) {
	p := w.holding(budget)
	if p.transferRequest != "" || len(p.transfers) >= maxTransfers || now.Before(p.nextTransfer) {
		return TransferRequest{}, false
	}
	w.transferRequests++
	p.transferRequest = w.holder.String() + "/" + strconv.FormatUint(w.transferRequests, 10)
	return TransferRequest{
		From:   w.holder,
		Budget: budget,
		Tokens: ceiling,
		ID:     p.transferRequest,
	}, true
}

// Received adds the transfer for the transfer request under way; a late answer to another transfer request changes nothing.
func (w *Wallet) TransferReceived(transferRequest TransferRequest, g Transfer) {
	p := w.holding(transferRequest.Budget)
	if p.transferRequest != transferRequest.ID {
		return
	}
	p.transferRequest = ""
	p.transfers = append(p.transfers, &transfer{Transfer: g})
}

// Refused ends the transfer request under way without a transfer.
func (w *Wallet) TransferFailed(now time.Time, transferRequest TransferRequest) {
	if p := w.holding(transferRequest.Budget); p.transferRequest == transferRequest.ID {
		p.transferRequest, p.nextTransfer = "", now.Add(requestPause)
	}
}

// reserveTransfer takes a ceiling from a transfer.
func (p *holding) reserveTransfer(budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	for _, g := range p.transfers {
		if g.Tokens < ceiling {
			continue
		}
		g.Tokens -= ceiling
		g.live++
		return Reservation{
			Budget:   budget,
			Grant:    g.Grant,
			Ceiling:  ceiling,
			Offline:  true,
			transfer: g,
		}, true
	}
	return Reservation{}, false
}

// settleTransfer ends a reservation of a transfer; what was not used can be spent later.
func (p *holding) settleTransfer(r Reservation, used laceunit.Tokens) {
	r.transfer.live--
	r.transfer.Tokens += r.Ceiling - used
	p.transfers = slices.DeleteFunc(p.transfers, func(g *transfer) bool { return g.live == 0 && g.Tokens == 0 })
}

// dropTransfers forgets the transfers under a grant that the ledger has closed.
func (p *holding) dropTransfers(grant laceunit.GrantID) {
	p.transfers = slices.DeleteFunc(p.transfers, func(g *transfer) bool { return g.Grant == grant })
}

// Giver returns who holds the grant that a transfer is spent under, and the grant's witnesses.
func (w *Wallet) TransferOrigin(budget laceunit.BudgetID, grant laceunit.GrantID) (laceunit.Holder, []laceunit.Holder, bool) {
	if p, ok := w.holdings[budget]; ok {
		for _, g := range p.transfers {
			if g.Grant == grant {
				return g.Holder, g.Witnesses, true
			}
		}
	}
	return laceunit.Holder{}, nil, false
}
