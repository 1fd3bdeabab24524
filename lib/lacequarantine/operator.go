package lacequarantine

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

// ErrNoVerdict means that there is no verdict with an id.
var ErrNoVerdict = errors.New("quarantine: no such verdict")

// Console reads and changes verdicts for an operator, by the store alone. An instance need not be reached for that.
type Console struct {
	Store laceplatform.Store
	Keys  Keys
}

// List returns the verdicts in the store by their ids. Entries that can't be read are left out.
func (c Console) List(ctx context.Context) ([]Verdict, error) {
	entries, _, err := c.Store.List(ctx, c.Keys.Verdicts)
	if err != nil {
		return nil, errors.Wrap(err, "quarantine: list verdicts")
	}
	var verdicts []Verdict
	for _, e := range entries {
		id, _ := suffix(e.Key, c.Keys.Verdicts)
		if v, decodeErr := DecodeVerdict(VerdictID(id), e.Value); decodeErr == nil {
			verdicts = append(verdicts, v)
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return verdicts, nil
}

// Set blocks or allows a combination of parts until the operator changes that.
func (c Console) Set(ctx context.Context, state State, parts []Part) (Verdict, error) {
	v := newVerdict(time.Now(), sortParts(parts), nil)
	v.State, v.Origin = state, Operator
	return v, c.write(ctx, v, 0)
}

// Lift ends a verdict. The crashes until now no longer count against its parts; later ones may block them again.
func (c Console) Lift(ctx context.Context, id VerdictID) (Verdict, error) {
	e, err := c.Store.Get(ctx, c.Keys.Verdict(id))
	if errors.Is(err, laceplatform.ErrMissing) {
		return Verdict{}, errors.Wrap(ErrNoVerdict, string(id))
	}
	if err != nil {
		return Verdict{}, errors.Wrap(err, "quarantine: read verdict")
	}
	v, err := DecodeVerdict(id, e.Value)
	if err != nil {
		return v, err
	}
	lease, err := c.Store.Lease(ctx, lapseAge)
	if err != nil {
		return v, errors.Wrap(err, "quarantine: grant lease")
	}
	v.State, v.Origin, v.At = Lifted, Operator, time.Now()
	return v, c.write(ctx, v, lease)
}

// write writes a verdict in place of the one that is stored.
func (c Console) write(ctx context.Context, v Verdict, lease laceplatform.LeaseID) error {
	value, err := EncodeVerdict(v)
	if err != nil {
		return err
	}
	key := c.Keys.Verdict(v.ID)
	for range maxWriteAttempts {
		e, getErr := c.Store.Get(ctx, key)
		if getErr != nil && !errors.Is(getErr, laceplatform.ErrMissing) {
			return errors.Wrap(getErr, "quarantine: read verdict")
		}
		_, err = c.Store.Swap(ctx, laceplatform.Swap{
			Key:    key,
			Value:  value,
			Expect: e.Revision,
			Lease:  lease,
		})
		if !errors.Is(err, laceplatform.ErrConflict) {
			break
		}
	}
	return errors.Wrap(err, "quarantine: write verdict")
}
