package laceadmin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceyaml"
)

// Action is the audit record of something that an operator did outside the document.
// It is written before the act, so nothing is done without its record.
type Action struct {
	ID     string
	Kind   string
	Target string
	Tokens int64
	Actor  string
	Time   time.Time
	// Result is "asked" until the outcome has been recorded; the same id can then be sent again.
	Result string
}

// The results of an action.
const (
	resultAsked   = "asked"
	resultDone    = "done"
	resultRefused = "refused"
)

func actionFields(a *Action) []laceyaml.Field {
	return []laceyaml.Field{
		laceyaml.ID("id", "", &a.ID),
		laceyaml.ID("kind", "", &a.Kind),
		laceyaml.String("target", "", &a.Target),
		laceyaml.Integer("tokens", "", &a.Tokens, 0, 1<<62),
		laceyaml.String("who", "", &a.Actor),
		laceyaml.Time("when", "", &a.Time),
		laceyaml.Choice("result", "", &a.Result, resultAsked, resultDone, resultRefused),
	}
}

// Trail keeps audit records.
type AuditLog interface {
	// Begin writes the record before the act. If the id is known it returns the former record and true.
	Begin(ctx context.Context, action Action) (Action, bool, error)
	// End records the result; failing to do so loses nothing but the result.
	End(ctx context.Context, action Action) error
}

// trailTries bounds the repetitions after a lost answer.
const trailTries = 4

// PlatformTrail keeps audit records in the platform.
type PlatformAuditLog struct {
	store laceplatform.Store
}

// NewTrail returns a trail over the platform.
func NewAuditLog(store laceplatform.Store) *PlatformAuditLog {
	return &PlatformAuditLog{
		store: store,
	}
}

func actionKey(id string) laceplatform.Key {
	return "audit/action/" + laceplatform.Key(id)
}

// Begin implements Trail.
func (t *PlatformAuditLog) Begin(ctx context.Context, a Action) (Action, bool, error) {
	text, err := laceyaml.Encode(actionFields(&a))
	if err != nil {
		return Action{}, false, err
	}
	for range trailTries {
		_, err = t.store.Swap(ctx, laceplatform.Swap{
			Key:   actionKey(a.ID),
			Value: text,
		})
		switch {
		case err == nil:
			return a, false, nil
		case errors.Is(err, laceplatform.ErrConflict):
			former, _, again := t.read(ctx, a.ID)
			return former, true, again
		case !errors.Is(err, laceplatform.ErrUnknown):
			return Action{}, false, err
		}
		// After a lost answer the next try conflicts with the record if it was written.
	}
	return Action{}, false, errors.Wrap(laceplatform.ErrUnavailable, "audit record")
}

// End implements Trail.
func (t *PlatformAuditLog) End(ctx context.Context, a Action) error {
	former, revision, err := t.read(ctx, a.ID)
	if err != nil || former.Result == a.Result {
		return err
	}
	former.Result = a.Result
	text, err := laceyaml.Encode(actionFields(&former))
	if err != nil {
		return err
	}
	_, err = t.store.Swap(ctx, laceplatform.Swap{
		Key:    actionKey(a.ID),
		Value:  text,
		Expect: revision,
	})
	return err
}

func (t *PlatformAuditLog) read(ctx context.Context, id string) (Action, laceplatform.Revision, error) {
	e, err := t.store.Get(ctx, actionKey(id))
	if err != nil {
		return Action{}, 0, err
	}
	var a Action
	if _, faults := laceyaml.Decode(e.Value, actionFields(&a)); len(faults) > 0 {
		return Action{}, 0, errors.Wrap(faults, "audit record")
	}
	return a, e.Revision, nil
}
