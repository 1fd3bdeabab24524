package laceplatform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// messageEmpty describes an answer without the header that every answer has.
const messageEmpty = "answer without a header"

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Entry, error) {
	found, _, err := c.find(ctx, RangeRequest{
		Key: []byte(key),
	})
	if err != nil {
		return Entry{}, err
	}
	if len(found) == 0 {
		return Entry{}, ErrMissing
	}
	return found[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix Key) ([]Entry, Revision, error) {
	return c.find(ctx, RangeRequest{
		Key: rangeStart(prefix),
		End: RangeEnd([]byte(prefix)),
	})
}

// rangeStart returns the first key of a prefix; the empty key is not allowed, so the range of all keys starts at zero.
func rangeStart(prefix Key) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

func (c *Client) find(ctx context.Context, body RangeRequest) ([]Entry, Revision, error) {
	var answer RangeResponse
	err := c.call(ctx, request{
		kind:   KindRead,
		effect: reads,
		path:   PathRange,
		body:   body,
	}, &answer)
	if err != nil {
		return nil, 0, err
	}
	if answer.Header == nil {
		return nil, 0, errors.WithMessage(ErrUnavailable, messageEmpty)
	}
	var found []Entry
	for _, p := range answer.Pairs {
		found = append(found, entry(p))
	}
	return found, Revision(answer.Header.Revision), nil
}

// Swap implements Store.
func (c *Client) Swap(ctx context.Context, swap Swap) (Revision, error) {
	if len(swap.Value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	return c.transact(ctx, swap.Key, swap.Expect, Operation{
		Put: &PutRequest{
			Key:   []byte(swap.Key),
			Value: swap.Value,
			Lease: int64(swap.Lease),
		},
	})
}

// Delete implements Store. It is a transaction, since a plain deletion can't be conditional.
func (c *Client) Delete(ctx context.Context, key Key, expect Revision) error {
	_, err := c.transact(ctx, key, expect, Operation{
		Delete: &DeleteRequest{
			Key: []byte(key),
		},
	})
	return err
}

// transact carries out an operation if a key stands at a revision.
func (c *Client) transact(ctx context.Context, key Key, expect Revision, operation Operation) (Revision, error) {
	var answer TxnResponse
	err := c.call(ctx, request{
		kind:   KindWrite,
		effect: once,
		path:   PathTxn,
		body: TxnRequest{
			Compare: []Compare{{
				Key:         []byte(key),
				Target:      "MOD",
				Result:      "EQUAL",
				ModRevision: int64(expect),
			}},
			Success: []Operation{operation},
		},
	}, &answer)
	if err != nil {
		return 0, err
	}
	switch {
	case answer.Header == nil:
		return 0, errors.WithMessage(ErrUnknown, messageEmpty)
	case !answer.Succeeded:
		return 0, ErrConflict
	}
	return Revision(answer.Header.Revision), nil
}

// Lease implements Store; the time to live is rounded up to whole seconds, which is what the platform knows.
func (c *Client) Lease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer LeaseMessage
	err := c.call(ctx, request{
		kind:   KindLease,
		effect: once,
		path:   PathGrant,
		body: LeaseMessage{
			TTL: int64((ttl + time.Second - 1) / time.Second),
		},
	}, &answer)
	if err != nil {
		return 0, err
	}
	return LeaseID(answer.ID), nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	var answer LeaseResult
	err := c.call(ctx, request{
		kind:   KindLease,
		effect: repeats,
		path:   PathRenew,
		body: LeaseMessage{
			ID: int64(lease),
		},
	}, &answer)
	if err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return ErrLeaseGone
	}
	return nil
}

// Revoke implements Store. It is not repeated, so that ErrLeaseGone never hides an own success.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, request{
		kind:   KindLease,
		effect: once,
		path:   PathRevoke,
		body: LeaseMessage{
			ID: int64(lease),
		},
	}, &LeaseMessage{})
}

func entry(p KeyValue) Entry {
	return Entry{
		Key:      Key(p.Key),
		Value:    p.Value,
		Revision: Revision(p.ModRevision),
		Lease:    LeaseID(p.Lease),
	}
}
