package lacenode

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/lacewire"
)

// maxRoundDeltaBytes bounds the delta of each copy in a round. On a link that is saturated by callers, one of forty
// connections gets 30 KB/s; larger deltas are transferred in the background, so that they do not delay other changes.
const maxRoundDeltaBytes = 8 << 10

// query is a query to a peer with the base values that its answer may be encoded against.
type query struct {
	request *lacewire.MirrorQuery
	bases   map[string]lacewire.Base
}

// newQuery returns a query for the changes that are missing from this instance's copies. If useBases is false, the
// answer must not be encoded against values of these copies.
func (r *replicator) newQuery(maxDeltaBytes int64, useBases bool) query {
	q := query{
		request: &lacewire.MirrorQuery{
			Instance: string(r.node.settings.Instance),
			Limit:    maxDeltaBytes,
			Unsaved:  r.unsavedRecords(),
		},
		bases: map[string]lacewire.Base{},
	}
	for _, f := range r.node.followers {
		s := &lacewire.MirrorState{
			Prefix: string(f.Prefix()),
		}
		revision := f.Status().Revision
		s.Revision, s.Era = revision.Number(), lacewire.FromEra(revision)
		// A base of another era can't be described: the copy has changed in between.
		if base, value := f.Base(); useBases && base.Key != "" && base.Revision.Era() == revision.Era() {
			s.Base, s.BaseRevision = string(base.Key), base.Revision.Number()
			q.bases[s.Prefix] = lacewire.Base{
				Revision: s.BaseRevision,
				Value:    value,
			}
		}
		q.request.States = append(q.request.States, s)
	}
	return q
}

// peerAnswer is the result of a query to a peer.
type peerAnswer struct {
	// syncedAt is the latest time at which all copies of the peer are known to have been current, if this instance now
	// has their content or can transfer it; zero if that is not known.
	syncedAt laceunit.Uptime
	// deltaOmitted is true when a delta was omitted from the answer because of its size.
	deltaOmitted bool
}

// fetch sends a query to a peer and applies its answer.
func (r *replicator) fetch(ctx context.Context, peer laceunit.Address, q query) (peerAnswer, error) {
	sentAt := r.node.tracker.Now()
	answer, err := lacewire.NewMirrorProtobufClient("http://"+string(peer), r.client).Fetch(ctx, q.request)
	if err != nil {
		return peerAnswer{}, errors.Wrap(err, "node: fetch")
	}
	return r.applyAnswer(peer, sentAt, q, answer)
}

// errMalformedAnswer means that the answer of a peer is malformed.
var errMalformedAnswer = errors.New("node: malformed answer of a peer")

// applyAnswer applies the answer to a query that was sent at sentAt. A malformed answer is rejected as a whole.
func (r *replicator) applyAnswer(
	peer laceunit.Address, sentAt laceunit.Uptime, q query, answer *lacewire.MirrorNews,
) (peerAnswer, error) {
	deltas := make([]lacemirror.Delta, 0, len(answer.GetDeltas()))
	problem := r.validate(answer)
	for _, m := range answer.GetDeltas() {
		if problem != "" {
			break
		}
		unpacked, err := lacewire.UnpackDelta(m, q.bases[m.GetPrefix()])
		switch {
		case err != nil:
			problem = err.Error()
		case hasInvalidEntry(unpacked):
			problem = "delta with an invalid entry"
		default:
			deltas = append(deltas, lacewire.ToMirrorDelta(unpacked))
		}
	}
	if problem != "" {
		// A peer may have another value of a base; without bases, its next answer is complete.
		r.offerNoBases.Store(true)
		r.node.rejectMessage(problem, string(peer))
		return peerAnswer{}, errors.Wrap(errMalformedAnswer, problem)
	}
	r.offerNoBases.Store(false)
	for _, d := range deltas {
		r.follower(d.Prefix).Merge(d)
	}
	r.applyUnsaved(string(peer), answer.GetUnsaved())
	return r.confirmCopies(sentAt, answer.GetConfirmed()), nil
}

// confirmCopies applies the ages of the copies of a peer from a valid answer.
func (r *replicator) confirmCopies(sentAt laceunit.Uptime, confirmations []*lacewire.MirrorConfirmation) peerAnswer {
	answer := peerAnswer{syncedAt: sentAt}
	confirmedCount := 0
	for _, c := range confirmations {
		syncedAt := sentAt.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		if syncedAt <= 0 {
			continue
		}
		f := r.follower(laceplatform.Key(c.GetPrefix()))
		if !f.Confirm(lacewire.ToRevision(c.GetEra(), c.GetRevision()), syncedAt) {
			if !c.GetLarge() {
				continue
			}
			f.AddPending(lacewire.ToRevision(c.GetEra(), c.GetNewest()))
			answer.deltaOmitted = true
		}
		confirmedCount++
		answer.syncedAt = min(answer.syncedAt, syncedAt)
	}
	if confirmedCount < len(r.node.followers) {
		answer.syncedAt = 0
	}
	return answer
}

// follower returns the follower of a prefix, or nil if there is none.
func (r *replicator) follower(prefix laceplatform.Key) *lacemirror.Follower {
	for _, f := range r.node.followers {
		if f.Prefix() == prefix {
			return f
		}
	}
	return nil
}

// Fetch implements lacewire.Mirror.
func (r *replicator) Fetch(_ context.Context, q *lacewire.MirrorQuery) (*lacewire.MirrorNews, error) {
	r.applyUnsaved(q.GetInstance(), q.GetUnsaved())
	answer := &lacewire.MirrorNews{
		Direct:  !r.node.replicating.Load(),
		Unsaved: r.unsavedRecords(),
	}
	now, malformed := r.node.tracker.Now(), false
	for _, s := range q.GetStates() {
		f := r.follower(laceplatform.Key(s.GetPrefix()))
		if f == nil || s.GetRevision() < 0 || s.GetBaseRevision() < 0 {
			// An instance of another version may follow more prefixes; the other states of its query are answered.
			malformed = true
			continue
		}
		// The status is read before the delta: later changes are in the delta or have advanced the copy's revision.
		status := f.Status()
		era := int64(status.Revision.Era())
		if s.Era != nil {
			// An instance that does not know eras gets what it would get without them.
			era = s.GetEra()
		}
		m, err := r.deltaFor(f, s, era)
		if err != nil {
			return nil, err
		}
		omitted := m != nil && q.GetLimit() > 0 && int64(len(m.GetPacked())) > q.GetLimit()
		if m != nil && !omitted {
			answer.Deltas = append(answer.Deltas, m)
		}
		if status.SyncedAt > 0 && status.Revision > 0 {
			answer.Confirmed = append(answer.Confirmed, &lacewire.MirrorConfirmation{
				Prefix:   s.GetPrefix(),
				AgeMs:    roundedUpAge(now, status.SyncedAt).Milliseconds(),
				Revision: status.Revision.Number(),
				Newest:   status.LastChange.Number(),
				Large:    omitted,
				Era:      lacewire.FromEra(status.Revision),
			})
		}
	}
	if malformed {
		r.node.rejectMessage("mirror query", q.GetInstance())
	}
	return answer, nil
}

// deltaFor returns the delta for the copy of a peer, or nil if that copy is up to date.
func (r *replicator) deltaFor(
	f *lacemirror.Follower, s *lacewire.MirrorState, era int64,
) (*lacewire.MirrorDelta, error) {
	d, value, ok := f.DeltaSince(lacewire.ToRevision(era, s.GetRevision()), lacemirror.Base{
		Key:      laceplatform.Key(s.GetBase()),
		Revision: lacewire.ToRevision(era, s.GetBaseRevision()),
	})
	if !ok {
		return nil, nil
	}
	var base lacewire.Base
	if value != nil {
		base = lacewire.Base{
			Revision: s.GetBaseRevision(),
			Value:    value,
		}
	}
	m, err := r.packer.Pack(lacewire.FromMirrorDelta(d), base)
	if err != nil {
		// The peer gets an error and queries other instances.
		r.node.log.Error(err, "failed to pack a delta", lacelog.P("prefix", f.Prefix()))
	}
	return m, err
}

// roundedUpAge returns the time since syncedAt, rounded up to whole milliseconds so that it is never understated.
func roundedUpAge(now, syncedAt laceunit.Uptime) time.Duration {
	return max(now.Sub(syncedAt), 0).Truncate(time.Millisecond) + time.Millisecond
}
