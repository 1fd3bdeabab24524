package lacestream

import (
	"context"
	"maps"
	"strings"
	"time"

	"lacewingcove/lib/laceplatform"
)

// simulatedStore is a store in memory.
type simulatedStore struct {
	laceplatform.Store

	sim      *simulation
	down     bool
	era      laceplatform.Era
	number   int64
	calls    int
	entries  map[laceplatform.Key]laceplatform.Entry
	expiries map[laceplatform.LeaseID]time.Time
}

// revision returns the current revision.
func (f *simulatedStore) revision() laceplatform.Revision {
	r, err := laceplatform.NewRevision(f.era, f.number)
	if err != nil {
		f.sim.t.Fatal(err)
	}
	return r
}

// Lease implements laceplatform.Store.
func (f *simulatedStore) Lease(_ context.Context, ttl time.Duration) (laceplatform.LeaseID, error) {
	if f.down {
		return 0, laceplatform.ErrUnavailable
	}
	id := laceplatform.LeaseID(len(f.expiries) + 1)
	f.expiries[id] = f.sim.now.Add(ttl)
	return id, nil
}

// Renew implements laceplatform.Store.
func (f *simulatedStore) Renew(_ context.Context, id laceplatform.LeaseID) error {
	switch {
	case f.down:
		return laceplatform.ErrUnavailable
	case f.expiries[id].Before(f.sim.now):
		return laceplatform.ErrLeaseNotFound
	}
	f.expiries[id] = f.sim.now.Add(leaseTTL)
	return nil
}

// List implements laceplatform.Store.
func (f *simulatedStore) List(
	_ context.Context, prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	f.calls++
	if f.down {
		return nil, 0, laceplatform.ErrUnavailable
	}
	var list []laceplatform.Entry
	for k, e := range f.entries {
		if strings.HasPrefix(string(k), string(prefix)) {
			list = append(list, e)
		}
	}
	return list, f.revision(), nil
}

// Swap implements laceplatform.Store. One in ten responses is lost.
func (f *simulatedStore) Swap(_ context.Context, w laceplatform.Swap) (laceplatform.Revision, error) {
	f.calls++
	switch {
	case f.down:
		return 0, laceplatform.ErrUnavailable
	case f.entries[w.Key].Revision != w.Expect:
		if _, ok := f.entries[w.Key]; !ok {
			return 0, laceplatform.ErrConflict
		}
		return 0, &laceplatform.Conflict{Entries: []laceplatform.Entry{f.entries[w.Key]}}
	}
	f.number++
	f.entries[w.Key] = laceplatform.Entry{
		Key:      w.Key,
		Value:    w.Value,
		Revision: f.revision(),
		Lease:    w.Lease,
	}
	f.sim.announce(f.entries[w.Key], false)
	if f.sim.random.IntN(10) == 0 {
		return 0, laceplatform.ErrUnknown
	}
	return f.revision(), nil
}

// Delete implements laceplatform.Store.
func (f *simulatedStore) Delete(_ context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	e, ok := f.entries[key]
	switch {
	case f.down:
		return laceplatform.ErrUnavailable
	case !ok || e.Revision != expect:
		return laceplatform.ErrConflict
	}
	delete(f.entries, key)
	f.sim.announce(e, true)
	return nil
}

// expire removes the entries whose leases have ended.
func (f *simulatedStore) expire() {
	for k, e := range f.entries {
		if e.Lease != 0 && f.expiries[e.Lease].Before(f.sim.now) {
			delete(f.entries, k)
		}
	}
}

// restore brings the records back that a backup has, with lower revisions in a new era.
func (f *simulatedStore) restore(backup map[laceplatform.Key]laceplatform.Entry) {
	f.era++
	f.number /= 2
	// A response tells the era before the copies change.
	for _, x := range f.sim.instances {
		era := f.era
		f.sim.inform(x, func() { x.era = era })
	}
	previous := f.entries
	f.entries = maps.Clone(backup)
	for k, e := range previous {
		if _, ok := backup[k]; !ok {
			f.sim.announce(e, true)
		}
	}
	for k, e := range f.entries {
		f.number++
		e.Revision = f.revision()
		f.entries[k] = e
		f.sim.announce(e, false)
	}
}

// instanceStore is the store as an instance reaches it.
type instanceStore struct {
	*simulatedStore

	instance *simulatedInstance
}

// Swap implements laceplatform.Store.
func (f *instanceStore) Swap(ctx context.Context, w laceplatform.Swap) (laceplatform.Revision, error) {
	if !f.instance.cutOffAt.IsZero() {
		return 0, laceplatform.ErrUnavailable
	}
	return f.simulatedStore.Swap(ctx, w)
}

// Delete implements laceplatform.Store.
func (f *instanceStore) Delete(ctx context.Context, key laceplatform.Key, expect laceplatform.Revision) error {
	if !f.instance.cutOffAt.IsZero() {
		return laceplatform.ErrUnavailable
	}
	return f.simulatedStore.Delete(ctx, key, expect)
}

// List implements laceplatform.Store.
func (f *instanceStore) List(
	ctx context.Context, prefix laceplatform.Key,
) ([]laceplatform.Entry, laceplatform.Revision, error) {
	if !f.instance.cutOffAt.IsZero() {
		return nil, 0, laceplatform.ErrUnavailable
	}
	return f.simulatedStore.List(ctx, prefix)
}
