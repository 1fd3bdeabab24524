package lacestream

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
)

// recordVersions records the versions in service, and removes the records of those that have not been for a while. A
// conflict means that another instance has done so.
func (s *Service) recordVersions(ctx context.Context, now time.Time) {
	// Followers call this service while they hold the locks that Current needs.
	current := s.options.Current()
	era := s.recordEra(now)
	s.mu.Lock()
	missing, outdated := s.versions.missing(), s.versions.outdated(now)
	var unconfirmed []ServiceVersion
	if now.Sub(s.eraAt) >= restorePeriod {
		unconfirmed = s.versions.unconfirmed(s.era)
	}
	revisions := map[ServiceVersion]laceplatform.Revision{}
	for _, v := range slices.Concat(outdated, unconfirmed) {
		revisions[v] = s.versions.recorded[v].revision
	}
	idle := len(missing)+len(outdated)+len(unconfirmed) == 0 || !current
	switch {
	case idle:
		s.recordAt = time.Time{}
	case s.recordAt.IsZero():
		s.recordAt = now.Add(time.Duration(uint64(s.options.Self.Incarnation) % uint64(maxRecordDelay)))
	}
	due := !idle && !now.Before(s.recordAt)
	if due {
		s.recordAt = now.Add(retryDelay)
	}
	s.mu.Unlock()
	if !due {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for _, v := range missing {
		s.addVersion(callCtx, v, era)
	}
	for _, v := range unconfirmed {
		s.countRecord(s.writeVersion(callCtx, v, era, revisions[v]))
	}
	for _, v := range outdated {
		s.countRecord(s.options.Store.Delete(callCtx, s.options.Keys.versionKey(v), revisions[v]))
	}
}

// recordEra returns the era that records are written with: an earlier one until all versions have had time to be recorded
// in a restored store.
func (s *Service) recordEra(now time.Time) laceplatform.Era {
	era := s.options.Era()
	s.mu.Lock()
	defer s.mu.Unlock()
	if era != s.era || s.eraAt.IsZero() {
		// Era zero is also that of a store that has not answered yet.
		s.restored = s.era > 0 || len(s.versions.recorded)+len(s.versions.acknowledged) > 0
		s.era, s.eraAt = era, now
		clear(s.versions.acknowledged)
	}
	if s.restored && now.Sub(s.eraAt) < restorePeriod {
		return era - 1
	}
	return era
}

// writeVersion writes the record of a version if it is at the expected revision; zero means that there must be none.
func (s *Service) writeVersion(
	ctx context.Context, v ServiceVersion, era laceplatform.Era, expect laceplatform.Revision,
) error {
	value, err := encodeVersion(v, era)
	if err != nil {
		return err
	}
	_, err = s.options.Store.Swap(ctx, laceplatform.Swap{
		Key:    s.options.Keys.versionKey(v),
		Value:  value,
		Expect: expect,
	})
	return err
}

func (s *Service) countRecord(err error) {
	if errors.Is(err, laceplatform.ErrConflict) || errors.Is(err, laceplatform.ErrMissing) {
		err = nil
	}
	s.options.Metrics.countWrite("version", err)
}
