package lacestream

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// A version is recorded in the store before the first event of its first stream is passed on. A read of the records that
// begins after a client has asked for the rest of a stream therefore includes the version that began it, however old the
// copies of this instance are. Neither clocks nor the ages of copies matter.

// recordedSet are the recorded versions of a service in one read.
type recordedSet struct {
	versions []laceunit.SoftwareVersion
	// unconfirmed is true if a version may be missing, since the store was restored from a backup.
	unconfirmed bool
}

// findOnly returns the only version of a service, and whether there is exactly one or there are several.
func (s *Service) findOnly(
	ctx context.Context, service laceunit.ServiceID,
) (version laceunit.SoftwareVersion, only, several bool) {
	// Others use the result even if this client leaves.
	ctx = context.WithoutCancel(ctx)
	sets, err := s.versionReads.do(func() (map[laceunit.ServiceID]recordedSet, error) { return s.readVersions(ctx) })
	set := sets[service]
	switch {
	case err != nil || len(set.versions) == 0:
		return "", false, false
	case len(set.versions) > 1:
		return "", false, true
	case set.unconfirmed:
		return "", false, false
	}
	return set.versions[0], true, false
}

// readVersions reads the recorded versions of all services.
func (s *Service) readVersions(ctx context.Context) (map[laceunit.ServiceID]recordedSet, error) {
	spacing := time.Duration(s.options.Members()) * memberReadSpacing
	s.options.Sleep(ctx, spacing-s.options.Clock().Sub(s.versionsReadAt))
	s.versionsReadAt = s.options.Clock()
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	entries, revision, err := s.options.Store.List(callCtx, s.options.Keys.Versions)
	if err != nil {
		return nil, errors.Wrap(err, "stream: read versions")
	}
	sets := map[laceunit.ServiceID]recordedSet{}
	for _, e := range entries {
		v, era, err := decodeVersion(e.Value)
		if err != nil {
			s.options.Log.Error(err, "failed to read the record of a version", lacelog.P("key", e.Key))
			continue
		}
		set := sets[v.Service]
		set.versions = append(set.versions, v.Version)
		set.unconfirmed = set.unconfirmed || era < revision.Era()
		sets[v.Service] = set
	}
	return sets, nil
}

// ensureRecorded reports whether the store has the record of a version, and writes it if it is not known to.
func (s *Service) ensureRecorded(ctx context.Context, v ServiceVersion) bool {
	if s.isRecorded(v) {
		return true
	}
	ctx = context.WithoutCancel(ctx)
	for range 2 {
		written, err := s.recordWrites.do(func() (map[ServiceVersion]bool, error) { return s.writeMissing(ctx, v) })
		if done, ok := written[v]; ok || err != nil {
			return done
		}
		// The call of another stream did not include this version.
	}
	return s.isRecorded(v)
}

func (s *Service) isRecorded(v ServiceVersion) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions.has(v)
}

// writeMissing writes the records of a version and of all others in service that the store is not known to have. It
// returns which of them the store has now.
func (s *Service) writeMissing(ctx context.Context, v ServiceVersion) (map[ServiceVersion]bool, error) {
	era := s.recordEra(s.options.Clock())
	s.mu.Lock()
	written := map[ServiceVersion]bool{v: false}
	for _, x := range s.versions.missing() {
		written[x] = false
	}
	for x := range written {
		written[x] = s.versions.has(x)
	}
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for x, done := range written {
		written[x] = done || s.addVersion(callCtx, x, era)
	}
	return written, nil
}

// addVersion writes the record of a version unless there is one, and reports whether there is one now.
func (s *Service) addVersion(ctx context.Context, v ServiceVersion, era laceplatform.Era) bool {
	err := s.writeVersion(ctx, v, era, 0)
	if errors.Is(err, laceplatform.ErrUnknown) {
		err = s.writeVersion(ctx, v, era, 0)
	}
	s.countRecord(err)
	if err != nil && !errors.Is(err, laceplatform.ErrConflict) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.versions.has(v) {
		s.versions.acknowledged[v] = true
	}
	return true
}
