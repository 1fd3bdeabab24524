package lacegrant

import (
	"slices"
	"strconv"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// maxSentTransfers limits the transfers that are remembered to deduplicate repeated requests. A request that was
	// evicted deducts tokens a second time; since the receiver accepts one transfer for each request, these tokens are
	// unavailable but never overspent.
	maxSentTransfers = 1024
	// maxTransfers limits the received transfers of a budget; each initially has the tokens of one ceiling.
	maxTransfers = 64
	// transferRetryDelay is the minimum delay between a failed transfer request and the next one for the same budget.
	transferRetryDelay = time.Second
)

// TransferRequest asks another instance for tokens from the offline allowance of its grant.
type TransferRequest struct {
	From   laceunit.Holder
	Budget laceunit.BudgetID
	Tokens laceunit.Tokens
	// ID stays the same when the request is repeated because its response was lost.
	ID string
}

// Transfer is a number of tokens that another instance has deducted from its grant for this one. They are spent under
// that grant, and the journal entries are copied to its witnesses.
type Transfer struct {
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	Witnesses []laceunit.Holder
}

// receivedTransfer is a transfer with its remaining tokens and the number of reservations from it.
type receivedTransfer struct {
	Transfer
	reservations int
}

type transferKey struct {
	from laceunit.Holder
	id   string
}

// sentTransfers remembers the latest transfers to other instances; keys are ordered from oldest to newest.
type sentTransfers struct {
	keys      []transferKey
	transfers map[transferKey]Transfer
}

func (s *sentTransfers) add(key transferKey, transfer Transfer) {
	if s.transfers == nil {
		s.transfers = map[transferKey]Transfer{}
	}
	if len(s.keys) == maxSentTransfers {
		delete(s.transfers, s.keys[0])
		s.keys = s.keys[1:]
	}
	s.keys = append(s.keys, key)
	s.transfers[key] = transfer
}

// HandleTransferRequest handles a transfer request of another instance; a repeated request gets the same transfer. It
// transfers nothing if the grant has no witness other than the receiver, because the receiver's journal entries have to
// be copied to a witness.
func (w *Wallet) HandleTransferRequest(request TransferRequest) (Transfer, bool) {
	key := transferKey{
		from: request.From,
		id:   request.ID,
	}
	if transfer, ok := w.sentTransfers.transfers[key]; ok {
		return transfer, true
	}
	p, ok := w.holdings[request.Budget]
	if !ok || request.Tokens <= 0 ||
		!slices.ContainsFunc(p.witnesses, func(h laceunit.Holder) bool { return h != request.From }) {
		return Transfer{}, false
	}
	r, ok := w.DeductTransfer(request.Budget, request.Tokens)
	if !ok {
		return Transfer{}, false
	}
	transfer := Transfer{
		Grant:     r.Grant,
		Holder:    w.holder,
		Tokens:    r.Ceiling,
		Witnesses: slices.Clone(p.witnesses),
	}
	w.sentTransfers.add(key, transfer)
	return transfer, true
}

// DeductTransfer deducts tokens from the offline allowance for another instance, which spends them under this grant. At
// most half of the available offline allowance is transferred at once.
func (w *Wallet) DeductTransfer(budget laceunit.BudgetID, tokens laceunit.Tokens) (Reservation, bool) {
	p, ok := w.holdings[budget]
	if !ok || p.grant == "" {
		return Reservation{}, false
	}
	if p.offlineAvailable()/2 < tokens {
		return Reservation{}, false
	}
	p.free -= tokens
	p.offlineSpent += tokens
	p.transferredOut = true
	return Reservation{
		Budget:  budget,
		Grant:   p.grant,
		Ceiling: tokens,
		Offline: true,
	}, true
}

// RequestTransfer returns a transfer request for a ceiling, or false if none may be sent now. Each budget has at most
// one request in flight, which TransferReceived or TransferFailed ends.
func (w *Wallet) RequestTransfer(
	now time.Time,
	budget laceunit.BudgetID,
	ceiling laceunit.Tokens,
) (TransferRequest, bool) {
	p := w.holding(budget)
	if p.transferRequestID != "" || len(p.transfers) >= maxTransfers || now.Before(p.nextTransferAt) {
		return TransferRequest{}, false
	}
	w.transferRequestCount++
	p.transferRequestID = w.holder.String() + "/" + strconv.FormatUint(w.transferRequestCount, 10)
	return TransferRequest{
		From:   w.holder,
		Budget: budget,
		Tokens: ceiling,
		ID:     p.transferRequestID,
	}, true
}

// TransferReceived adds the transfer for the request in flight; a delayed response to an earlier request is ignored.
func (w *Wallet) TransferReceived(request TransferRequest, transfer Transfer) {
	p := w.holding(request.Budget)
	if p.transferRequestID != request.ID {
		return
	}
	p.transferRequestID = ""
	p.transfers = append(p.transfers, &receivedTransfer{Transfer: transfer})
}

// TransferFailed ends the request in flight without a transfer.
func (w *Wallet) TransferFailed(now time.Time, request TransferRequest) {
	if p := w.holding(request.Budget); p.transferRequestID == request.ID {
		p.transferRequestID, p.nextTransferAt = "", now.Add(transferRetryDelay)
	}
}

// reserveFromTransfer reserves a ceiling from a received transfer.
func (p *holding) reserveFromTransfer(budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	for _, t := range p.transfers {
		if t.Tokens < ceiling {
			continue
		}
		t.Tokens -= ceiling
		t.reservations++
		return Reservation{
			Budget:   budget,
			Grant:    t.Grant,
			Ceiling:  ceiling,
			Offline:  true,
			transfer: t,
		}, true
	}
	return Reservation{}, false
}

// settleTransfer ends a reservation from a received transfer; the unused tokens can be reserved again.
func (p *holding) settleTransfer(r Reservation, used laceunit.Tokens) {
	r.transfer.reservations--
	r.transfer.Tokens += r.Ceiling - used
	p.transfers = slices.DeleteFunc(p.transfers, func(t *receivedTransfer) bool {
		return t.reservations == 0 && t.Tokens == 0
	})
}

// dropTransfers deletes the received transfers under a grant that the ledger has closed.
func (p *holding) dropTransfers(grant laceunit.GrantID) {
	p.transfers = slices.DeleteFunc(p.transfers, func(t *receivedTransfer) bool { return t.Grant == grant })
}

// TransferOrigin returns the holder and the witnesses of the grant from which a received transfer was deducted.
func (w *Wallet) TransferOrigin(
	budget laceunit.BudgetID,
	grant laceunit.GrantID,
) (laceunit.Holder, []laceunit.Holder, bool) {
	if p, ok := w.holdings[budget]; ok {
		for _, t := range p.transfers {
			if t.Grant == grant {
				return t.Holder, t.Witnesses, true
			}
		}
	}
	return laceunit.Holder{}, nil, false
}
