package lacegrant

import (
	"slices"
	"strconv"
	"time"

	"lacewingcove/lib/laceunit"
)

const (
	// maxGiven bounds the gifts that are remembered for repeated pleas. A plea that was forgotten deducts once more,
	// and the receiver takes one gift for each plea, so that only availability suffers.
	maxGiven = 1024
	// maxGifts bounds the gifts of a purse; each has tokens for one ceiling at first.
	maxGifts = 64
	// pleaPause is the least time between a plea that brought nothing and the next one of the same budget.
	pleaPause = time.Second
)

// Plea asks another instance for tokens of the offline part of its grant.
type Plea struct {
	From   laceunit.Holder
	Budget laceunit.BudgetID
	Tokens laceunit.Tokens
	// ID is the same when the plea is repeated because its answer was lost.
	ID string
}

// Gift is what a giver has deducted; it is spent under the giver's grant and with the grant's witnesses.
type Gift struct {
	Grant     laceunit.GrantID
	Holder    laceunit.Holder
	Tokens    laceunit.Tokens
	Witnesses []laceunit.Holder
}

// gift is what is left of a received gift.
type gift struct {
	Gift
	live int
}

type givenKey struct {
	from laceunit.Holder
	id   string
}

// given are the latest gifts, oldest first.
type given struct {
	keys  []givenKey
	gifts map[givenKey]Gift
}

func (g *given) add(key givenKey, x Gift) {
	if g.gifts == nil {
		g.gifts = map[givenKey]Gift{}
	}
	if len(g.keys) == maxGiven {
		delete(g.gifts, g.keys[0])
		g.keys = g.keys[1:]
	}
	g.keys = append(g.keys, key)
	g.gifts[key] = x
}

// Give answers a plea; a repeated one gets the same gift. Nothing is given when the grant names no witness beside the
// receiver, because the receiver's spend has to be copied to one.
func (w *Wallet) Give(plea Plea) (Gift, bool) {
	key := givenKey{
		from: plea.From,
		id:   plea.ID,
	}
	if g, ok := w.given.gifts[key]; ok {
		return g, true
	}
	p, ok := w.purses[plea.Budget]
	if !ok || plea.Tokens <= 0 || !slices.ContainsFunc(p.witnesses, func(h laceunit.Holder) bool { return h != plea.From }) {
		return Gift{}, false
	}
	r, ok := w.HandOver(plea.Budget, plea.Tokens)
	if !ok {
		return Gift{}, false
	}
	g := Gift{
		Grant:     r.Grant,
		Holder:    w.holder,
		Tokens:    r.Ceiling,
		Witnesses: slices.Clone(p.witnesses),
	}
	w.given.add(key, g)
	return g, true
}

// HandOver deducts tokens of the offline part for another instance; the receiver spends them under this grant.
func (w *Wallet) HandOver(budget laceunit.BudgetID, tokens laceunit.Tokens) (Reservation, bool) {
	p, ok := w.purses[budget]
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

// Plead returns the plea with which a ceiling can be reserved offline, or none when no plea may be made now. One plea
// of a budget is under way at a time, until Received or Refused.
func (w *Wallet) Plead(now time.Time, budget laceunit.BudgetID, ceiling laceunit.Tokens) (Plea, bool) {
	p := w.purse(budget)
	if p.plea != "" || len(p.gifts) >= maxGifts || now.Before(p.plead) {
		return Plea{}, false
	}
	w.pleas++
	p.plea = w.holder.String() + "/" + strconv.FormatUint(w.pleas, 10)
	return Plea{
		From:   w.holder,
		Budget: budget,
		Tokens: ceiling,
		ID:     p.plea,
	}, true
}

// Received adds the gift for the plea under way; a late answer to another plea changes nothing.
func (w *Wallet) Received(plea Plea, g Gift) {
	p := w.purse(plea.Budget)
	if p.plea != plea.ID {
		return
	}
	p.plea = ""
	p.gifts = append(p.gifts, &gift{Gift: g})
}

// Refused ends the plea under way without a gift.
func (w *Wallet) Refused(now time.Time, plea Plea) {
	if p := w.purse(plea.Budget); p.plea == plea.ID {
		p.plea, p.plead = "", now.Add(pleaPause)
	}
}

// reserveGift takes a ceiling from a gift.
func (p *purse) reserveGift(budget laceunit.BudgetID, ceiling laceunit.Tokens) (Reservation, bool) {
	for _, g := range p.gifts {
		if g.Tokens < ceiling {
			continue
		}
		g.Tokens -= ceiling
		g.live++
		return Reservation{
			Budget:  budget,
			Grant:   g.Grant,
			Ceiling: ceiling,
			Offline: true,
			gift:    g,
		}, true
	}
	return Reservation{}, false
}

// settleGift ends a reservation of a gift; what was not used can be spent later.
func (p *purse) settleGift(r Reservation, used laceunit.Tokens) {
	r.gift.live--
	r.gift.Tokens += r.Ceiling - used
	p.gifts = slices.DeleteFunc(p.gifts, func(g *gift) bool { return g.live == 0 && g.Tokens == 0 })
}

// dropGifts forgets the gifts under a grant that the ledger has closed.
func (p *purse) dropGifts(grant laceunit.GrantID) {
	p.gifts = slices.DeleteFunc(p.gifts, func(g *gift) bool { return g.Grant == grant })
}

// Giver returns who holds the grant that a gift is spent under, and the grant's witnesses.
func (w *Wallet) Giver(budget laceunit.BudgetID, grant laceunit.GrantID) (laceunit.Holder, []laceunit.Holder, bool) {
	if p, ok := w.purses[budget]; ok {
		for _, g := range p.gifts {
			if g.Grant == grant {
				return g.Holder, g.Witnesses, true
			}
		}
	}
	return laceunit.Holder{}, nil, false
}
