package laceplatform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// MaxValueBytes is the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Errors of the platform layer.
var (
	// ErrMissing means that the key does not exist.
	ErrMissing = errors.New("platform: key does not exist")
	// ErrConflict means that the key is not at the expected revision; nothing was written.
	ErrConflict = errors.New("platform: revision conflict")
	// ErrUnavailable means that the call was definitely not executed.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the call may have been executed; read the key before a retry.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrLeaseNotFound means that the lease has expired or was revoked.
	ErrLeaseNotFound = errors.New("platform: lease is gone")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrWatchLagging means that a watch delivers changes more slowly than they are made; a list of the current state
	// is smaller than the backlog.
	ErrWatchLagging = errors.New("platform: watch falls behind")
	// ErrCompacted means that a watch can't start at its revision because the changes after it were compacted.
	ErrCompacted = errors.New("platform: revision compacted")
)

// Conflict is an ErrConflict of a store that also returns the current state of the keys of the call.
type Conflict struct {
	// Entries has no entry for a key that does not exist.
	Entries []Entry
}

// Entry returns the current state of a key; its revision is zero if the key does not exist.
func (c *Conflict) Entry(key Key) Entry {
	for _, e := range c.Entries {
		if e.Key == key {
			return e
		}
	}
	return Entry{Key: key}
}

// Error implements error.
func (c *Conflict) Error() string { return ErrConflict.Error() }

// Is makes a conflict match ErrConflict.
func (c *Conflict) Is(target error) bool { return target == ErrConflict }

// Key is a key of the store.
type Key string

// Revision is the store-wide revision at which a key was last written; zero means that it does not exist. Revisions of a
// later era are greater than those of an earlier one.
type Revision int64

// LeaseID identifies a lease; zero means no lease.
type LeaseID int64

// Entry is a key with its value.
type Entry struct {
	Key      Key
	Value    []byte
	Revision Revision
	Lease    LeaseID
}

// Event is one change delivered by a watch.
type Event struct {
	Entry   Entry
	Deleted bool
	// Progress marks an event without a change: every change up to Entry.Revision has been delivered. Stores that
	// implement watches by long polling send one after each poll.
	Progress bool
	// RequestedAt is when the request was sent whose response caused a progress event: all changes up to then have been
	// delivered. Zero means unknown.
	RequestedAt laceunit.Uptime
	// Paused marks a progress event after which no request is pending at the store until the next event.
	Paused bool
}

// Watch is a stream of changes; Events is closed when the watch ends, and Err then returns the reason.
type Watch interface {
	Events() <-chan Event
	Err() error
	Close() error
}

// Store is the platform's key-value store.
type Store interface {
	// Get returns one key, or ErrMissing.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the keys with a prefix in key order, and the revision that the list reflects.
	List(ctx context.Context, prefix Key) ([]Entry, Revision, error)
	// Swap writes a key if it is at the expected revision; zero means that it must not exist.
	Swap(ctx context.Context, swap Swap) (Revision, error)
	// Delete removes a key if it is at the expected revision.
	Delete(ctx context.Context, key Key, expect Revision) error
	// Lease creates a lease.
	Lease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease by its time to live.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke revokes a lease and deletes its keys.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch streams the changes of a prefix after a revision.
	Watch(ctx context.Context, prefix Key, after Revision) (Watch, error)
}

// Batcher is a store that writes several keys in one call.
type Batcher interface {
	// SwapAll writes either all keys or none: every key must be at its expected revision. All get the same revision.
	SwapAll(ctx context.Context, swaps []Swap) (Revision, error)
}

// Swap is one compare-and-swap.
type Swap struct {
	Key    Key
	Value  []byte
	Expect Revision
	Lease  LeaseID
}

// maxOverwriteAttempts is how often Overwrite attempts a write: a conflict on the first attempt returns the current
// revision.
const maxOverwriteAttempts = 2

// Overwrite writes a key that has no other writer, whatever its revision is: an earlier response may have been lost, or
// the entry may have expired. It returns the latest known revision, also with an error, which is one of the store.
func Overwrite(ctx context.Context, store Store, swap Swap) (Revision, error) {
	var err error
	for range maxOverwriteAttempts {
		var revision Revision
		revision, err = store.Swap(ctx, swap)
		if err == nil {
			return revision, nil
		}
		if !errors.Is(err, ErrConflict) {
			break
		}
		// A conflict without details means that the key does not exist.
		swap.Expect = 0
		if conflict := new(Conflict); errors.As(err, &conflict) {
			swap.Expect = conflict.Entry(swap.Key).Revision
		}
	}
	return swap.Expect, err
}
