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

// roundBytes bounds what a round of questions brings for each copy. On a link that callers fill, a connection among forty gets
// 30 KB/s; what is larger is transferred beside the rounds, so that it holds up no other news.
const roundBytes = 8 << 10

// question is what another instance is asked, and the values that its answer may refer to.
type question struct {
	query *lacewire.MirrorQuery
	bases map[string]lacewire.Base
}

// question returns one for what this instance's copies lack; packed is false when the answer may not refer to what they hold.
func (x *exchange) question(limit int64, packed bool) question {
	q := question{
		query: &lacewire.MirrorQuery{
			Instance: string(x.node.settings.Instance),
			Limit:    limit,
		},
		bases: map[string]lacewire.Base{},
	}
	for _, f := range x.node.followers {
		s := &lacewire.MirrorState{
			Prefix:   string(f.Prefix()),
			Revision: int64(f.Status().Revision),
		}
		if base, value := f.Base(); packed && base.Key != "" {
			s.Base, s.BaseRevision = string(base.Key), int64(base.Revision)
			q.bases[s.Prefix] = lacewire.Base{
				Revision: s.BaseRevision,
				Value:    value,
			}
		}
		q.query.States = append(q.query.States, s)
	}
	return q
}

// heard is what an answer of another instance says.
type heard struct {
	// reached is the newest moment at which all copies of the answering instance are known to have been current, if what this
	// instance lacks of them is here or can be transferred; zero if that is not known.
	reached laceunit.Uptime
	// large is true when something was left out of the answer for its size.
	large bool
}

// fetch puts a question to another instance and takes in the answer.
func (x *exchange) fetch(ctx context.Context, peer laceunit.Address, q question) (heard, error) {
	asked := x.node.pulse.Now()
	news, err := lacewire.NewMirrorProtobufClient("http://"+string(peer), x.client).Fetch(ctx, q.query)
	if err != nil {
		return heard{}, errors.Wrap(err, "node: fetch")
	}
	return x.take(peer, asked, q, news)
}

// errNews means that an answer can't be meant.
var errNews = errors.New("node: news can't be read")

// take takes in the answer to a question that was asked at a moment. One that can't be meant is no answer.
func (x *exchange) take(peer laceunit.Address, asked laceunit.Uptime, q question, news *lacewire.MirrorNews) (heard, error) {
	deltas := make([]lacemirror.Delta, 0, len(news.GetDeltas()))
	fault := x.fault(news)
	for _, m := range news.GetDeltas() {
		if fault != "" {
			break
		}
		whole, err := lacewire.UnpackDelta(m, q.bases[m.GetPrefix()])
		switch {
		case err != nil:
			fault = err.Error()
		case strays(whole):
			fault = "news with a foreign key"
		default:
			deltas = append(deltas, lacewire.ToDelta(whole))
		}
	}
	if fault != "" {
		x.node.malformed(fault, string(peer))
		return heard{}, errors.Wrap(errNews, fault)
	}
	for _, d := range deltas {
		x.follower(d.Prefix).Merge(d)
	}
	return x.confirm(asked, news.GetConfirmed()), nil
}

// confirm takes in how old the copies of another instance are, by an answer without fault.
func (x *exchange) confirm(asked laceunit.Uptime, confirmed []*lacewire.MirrorConfirmation) heard {
	h := heard{reached: asked}
	known := 0
	for _, c := range confirmed {
		at := asked.Add(-time.Duration(c.GetAgeMs()) * time.Millisecond)
		if at <= 0 {
			continue
		}
		revision := laceplatform.Revision(c.GetRevision())
		f := x.follower(laceplatform.Key(c.GetPrefix()))
		if !f.Confirm(revision, at) {
			if !c.GetLarge() {
				continue
			}
			f.AddPending(laceplatform.Revision(c.GetNewest()))
			h.large = true
		}
		known++
		h.reached = min(h.reached, at)
	}
	if known < len(x.node.followers) {
		h.reached = 0
	}
	return h
}

// follower returns the follower of a prefix, or nil.
func (x *exchange) follower(prefix laceplatform.Key) *lacemirror.Follower {
	for _, f := range x.node.followers {
		if f.Prefix() == prefix {
			return f
		}
	}
	return nil
}

// Fetch implements lacewire.Mirror.
func (x *exchange) Fetch(_ context.Context, q *lacewire.MirrorQuery) (*lacewire.MirrorNews, error) {
	news := &lacewire.MirrorNews{Direct: !x.node.following.Load()}
	now, unread := x.node.pulse.Now(), false
	for _, s := range q.GetStates() {
		f := x.follower(laceplatform.Key(s.GetPrefix()))
		if f == nil || s.GetRevision() < 0 || s.GetBaseRevision() < 0 {
			// An instance of another version may follow more; what it asks beside that is answered.
			unread = true
			continue
		}
		// The age comes first: changes after it are in the copy or have moved its revision.
		status := f.Status()
		m, err := x.lacks(f, s)
		if err != nil {
			return nil, err
		}
		large := m != nil && q.GetLimit() > 0 && int64(len(m.GetPacked())) > q.GetLimit()
		if m != nil && !large {
			news.Deltas = append(news.Deltas, m)
		}
		if status.SyncedAt > 0 && status.Revision > 0 {
			news.Confirmed = append(news.Confirmed, &lacewire.MirrorConfirmation{
				Prefix:   s.GetPrefix(),
				AgeMs:    age(now, status.SyncedAt).Milliseconds(),
				Revision: int64(status.Revision),
				Newest:   int64(status.LastChange),
				Large:    large,
			})
		}
	}
	if unread {
		x.node.malformed("news query", q.GetInstance())
	}
	return news, nil
}

// lacks returns the delta to another instance's copy, or nil if it lacks nothing.
func (x *exchange) lacks(f *lacemirror.Follower, s *lacewire.MirrorState) (*lacewire.MirrorDelta, error) {
	d, value, ok := f.DeltaSince(laceplatform.Revision(s.GetRevision()), lacemirror.Base{
		Key:      laceplatform.Key(s.GetBase()),
		Revision: laceplatform.Revision(s.GetBaseRevision()),
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
	m, err := x.packer.Pack(lacewire.FromDelta(d), base)
	if err != nil {
		// The asker hears nothing from here and asks others.
		x.node.log.Fault(err, "news was not packed", lacelog.P("prefix", f.Prefix()))
	}
	return m, err
}

// age returns how old news is, in whole milliseconds that are never too few.
func age(now, reached laceunit.Uptime) time.Duration {
	return max(now.Sub(reached), 0).Truncate(time.Millisecond) + time.Millisecond
}
