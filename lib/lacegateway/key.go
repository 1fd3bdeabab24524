package lacegateway

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"sync"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/lacefault"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/lacelistener"
	"lacewingcove/lib/laceunit"
)

// caller is the client account that an API key belongs to, with the budget to charge.
type caller struct {
	id      laceunit.AccountID
	account laceconfig.Account
	// budget is the id of the budget in the ledger.
	budget laceunit.BudgetID
}

// keyring maps the hashes of API keys to client accounts; it is rebuilt when the active document changes.
type keyring struct {
	mu       sync.Mutex
	document *laceconfig.Document
	callers  map[string]caller
}

func (k *keyring) find(document *laceconfig.Document, key string) (caller, bool) {
	sum := sha256.Sum256([]byte(key))
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.document != document {
		k.rebuild(document)
	}
	c, ok := k.callers[hex.EncodeToString(sum[:])]
	return c, ok
}

func (k *keyring) rebuild(document *laceconfig.Document) {
	k.document = document
	k.callers = make(map[string]caller, len(document.Accounts))
	for id, a := range document.Accounts {
		for _, key := range a.Keys {
			name := key.Budget
			if name == "" && len(a.Budgets) > 0 {
				name = a.Budgets[0]
			}
			c := caller{
				id:      id,
				account: a,
			}
			if name != "" {
				c.budget = laceledger.JoinBudgetID(id, name)
			}
			k.callers[strings.ToLower(key.Hash)] = c
		}
	}
}

// authenticate returns the client account of a request, with the budget to charge, and the active document.
func (g *Gateway) authenticate(r *http.Request) (caller, *laceconfig.Document, *lacefault.Fault) {
	document := g.deps.Configuration.Current()
	if document == nil || !g.deps.Configuration.Fresh() {
		return caller{}, nil, &lacefault.Fault{
			Outcome:    lacefault.NotRun,
			Code:       lacefault.ConfigurationStale,
			Message:    "this instance has no confirmed configuration",
			RetryAfter: retryAfterStale,
			Instance:   g.deps.Membership.RedirectAddress(),
		}
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return caller{}, nil, refusal(lacefault.Unauthorized, "no API key in the Authorization header")
	}
	c, ok := g.keys.find(document, key)
	if !ok {
		return caller{}, nil, refusal(lacefault.Unauthorized, "unknown API key")
	}
	lacelistener.FromContext(r.Context()).Assign(string(c.id))
	if name := laceunit.BudgetID(r.Header.Get(headerBudget)); name != "" {
		if !hasBudget(c.account, name) {
			return caller{}, nil, refusal(lacefault.Forbidden, "the client account has no such budget")
		}
		c.budget = laceledger.JoinBudgetID(c.id, name)
	}
	if c.budget == "" {
		return caller{}, nil, refusal(lacefault.Forbidden, "the client account has no budget")
	}
	return c, document, nil
}

func hasBudget(a laceconfig.Account, budget laceunit.BudgetID) bool {
	for _, b := range a.Budgets {
		if b == budget {
			return true
		}
	}
	return false
}
