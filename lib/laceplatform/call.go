package laceplatform

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// messageNoHeader describes a response without the header that every response has.
const messageNoHeader = "answer without a header"

// Get implements Store.
func (c *Client) Get(ctx context.Context, key Key) (Entry, error) {
	entries, _, err := c.readRange(ctx, RangeRequest{
		Key: []byte(key),
	})
	if err != nil {
		return Entry{}, err
	}
	if len(entries) == 0 {
		return Entry{}, ErrMissing
	}
	return entries[0], nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix Key) ([]Entry, Revision, error) {
	return c.readRange(ctx, RangeRequest{
		Key: rangeStart(prefix),
		End: RangeEnd([]byte(prefix)),
	})
}

// rangeStart returns the first key of a prefix; the empty key is invalid, so the range of all keys starts at a zero
// byte.
func rangeStart(prefix Key) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

func (c *Client) readRange(ctx context.Context, body RangeRequest) ([]Entry, Revision, error) {
	var response RangeResponse
	err := c.call(ctx, request{
		kind:        KindRead,
		retrySafety: readOnly,
		path:        PathRange,
		body:        body,
	}, &response)
	if err != nil {
		return nil, 0, err
	}
	if response.Header == nil {
		return nil, 0, errors.WithMessage(ErrUnavailable, messageNoHeader)
	}
	var entries []Entry
	for _, kv := range response.Pairs {
		entries = append(entries, toEntry(kv))
	}
	return entries, Revision(response.Header.Revision), nil
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

// Delete implements Store. It uses a transaction, since the delete call of the API is unconditional.
func (c *Client) Delete(ctx context.Context, key Key, expect Revision) error {
	_, err := c.transact(ctx, key, expect, Operation{
		Delete: &DeleteRequest{
			Key: []byte(key),
		},
	})
	return err
}

// transact executes an operation if a key is at the expected revision.
func (c *Client) transact(ctx context.Context, key Key, expect Revision, operation Operation) (Revision, error) {
	var response TxnResponse
	err := c.call(ctx, request{
		kind:        KindWrite,
		retrySafety: nonIdempotent,
		path:        PathTxn,
		body: TxnRequest{
			Compare: []Compare{{
				Key:         []byte(key),
				Target:      "MOD",
				Result:      "EQUAL",
				ModRevision: int64(expect),
			}},
			Success: []Operation{operation},
		},
	}, &response)
	if err != nil {
		return 0, err
	}
	switch {
	case response.Header == nil:
		return 0, errors.WithMessage(ErrUnknown, messageNoHeader)
	case !response.Succeeded:
		return 0, ErrConflict
	}
	return Revision(response.Header.Revision), nil
}

// Lease implements Store; the time to live is rounded up to whole seconds, the unit of the API.
func (c *Client) Lease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var response LeaseMessage
	err := c.call(ctx, request{
		kind:        KindLease,
		retrySafety: nonIdempotent,
		path:        PathGrant,
		body: LeaseMessage{
			TTL: int64((ttl + time.Second - 1) / time.Second),
		},
	}, &response)
	if err != nil {
		return 0, err
	}
	return LeaseID(response.ID), nil
}

// Renew implements Store.
func (c *Client) Renew(ctx context.Context, lease LeaseID) error {
	var response LeaseResult
	err := c.call(ctx, request{
		kind:        KindLease,
		retrySafety: idempotent,
		path:        PathRenew,
		body: LeaseMessage{
			ID: int64(lease),
		},
	}, &response)
	if err != nil {
		return err
	}
	if response.Result.TTL <= 0 {
		return ErrLeaseNotFound
	}
	return nil
}

// Revoke implements Store. It is not retried: the retry of a revocation whose response was lost would return
// ErrLeaseNotFound although the revocation succeeded.
func (c *Client) Revoke(ctx context.Context, lease LeaseID) error {
	return c.call(ctx, request{
		kind:        KindLease,
		retrySafety: nonIdempotent,
		path:        PathRevoke,
		body: LeaseMessage{
			ID: int64(lease),
		},
	}, &LeaseMessage{})
}

func toEntry(kv KeyValue) Entry {
	return Entry{
		Key:      Key(kv.Key),
		Value:    kv.Value,
		Revision: Revision(kv.ModRevision),
		Lease:    LeaseID(kv.Lease),
	}
}
