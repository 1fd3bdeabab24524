package lacewire

import (
	"lacewingcove/lib/lacejournal"
	"lacewingcove/lib/laceledger"
	"lacewingcove/lib/laceunit"
)

// FromEntries maps journal entries to messages.
func FromJournalEntries(entries []lacejournal.Entry) []*PeerEntry {
	return mapped(entries, fromEntry)
}

// ToEntries maps messages to journal entries.
func ToJournalEntries(entries []*PeerEntry) []lacejournal.Entry {
	return mapped(entries, toEntry)
}

// FromDrops maps notices about copies to messages.
func FromJournalDrops(drops []lacejournal.Drop) []*PeerDrop {
	return mapped(drops, func(d lacejournal.Drop) *PeerDrop {
		return &PeerDrop{
			Owner:   FromHolder(d.Owner),
			Account: string(d.Request.Account),
			Request: string(d.Request.ID),
			Serial:  d.Serial,
		}
	})
}

// ToDrops maps messages to notices about copies.
func ToJournalDrops(drops []*PeerDrop) []lacejournal.Drop {
	return mapped(drops, func(d *PeerDrop) lacejournal.Drop {
		return lacejournal.Drop{
			Owner: ToHolder(d.GetOwner()),
			Request: laceledger.Request{
				Account: laceunit.AccountID(d.GetAccount()),
				ID:      laceunit.RequestID(d.GetRequest()),
			},
			Serial: d.GetSerial(),
		}
	})
}

func fromEntry(entry lacejournal.Entry) *PeerEntry {
	r := entry.Record
	m := &PeerEntry{
		Owner:      FromHolder(entry.Owner),
		Holder:     FromHolder(entry.Holder),
		Serial:     entry.Serial,
		Budget:     string(r.Budget),
		Account:    string(r.Request.Account),
		Request:    string(r.Request.ID),
		Digest:     string(r.Digest),
		Grant:      string(r.Grant),
		Attempt:    string(r.Attempt),
		Server:     string(r.Server),
		Tokens:     int64(r.Tokens),
		Idempotent: r.Idempotent,
		Finished:   r.Finished,
		At:         r.At,
	}
	if a := r.Response; a != nil {
		m.Answer = &PeerAnswer{
			Status: int32(a.Status),
			Type:   a.ContentType,
			Body:   a.Body,
		}
	}
	return m
}

func toEntry(entry *PeerEntry) lacejournal.Entry {
	e := lacejournal.Entry{
		Owner:  ToHolder(entry.GetOwner()),
		Holder: ToHolder(entry.GetHolder()),
		Serial: entry.GetSerial(),
		Record: laceledger.Offline{
			Budget: laceunit.BudgetID(entry.GetBudget()),
			Request: laceledger.Request{
				Account: laceunit.AccountID(entry.GetAccount()),
				ID:      laceunit.RequestID(entry.GetRequest()),
			},
			Digest:     laceunit.Digest(entry.GetDigest()),
			Grant:      laceunit.GrantID(entry.GetGrant()),
			Attempt:    laceunit.AttemptID(entry.GetAttempt()),
			Server:     laceunit.ServerID(entry.GetServer()),
			Tokens:     laceunit.Tokens(entry.GetTokens()),
			Idempotent: entry.GetIdempotent(),
			Finished:   entry.GetFinished(),
			At:         entry.GetAt(),
		},
	}
	if a := entry.GetAnswer(); a != nil {
		e.Record.Response = &laceledger.Response{
			Status:      int(a.GetStatus()),
			ContentType: a.GetType(),
			Body:        a.GetBody(),
		}
	}
	return e
}
