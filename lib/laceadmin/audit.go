package laceadmin

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceyaml"
)

// Action is the audit record of an operator's action other than a change of the configuration. It is written ahead of
// the action, so no action takes effect without a record.
type Action struct {
	ID     string
	Kind   string
	Target string
	Tokens int64
	Actor  string
	Time   time.Time
	// Result is "asked" until the outcome has been recorded; until then the same id can be sent again.
	Result string
}

// The results of an action.
const (
	resultPending = "asked"
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
		laceyaml.Choice("result", "", &a.Result, resultPending, resultDone, resultRefused),
	}
}

// AuditLog stores audit records.
type AuditLog interface {
	// Begin writes the record ahead of the action. If the id already exists it returns the existing record and true.
	Begin(ctx context.Context, action Action) (Action, bool, error)
	// End records the result; if it fails, only the result is missing from the record.
	End(ctx context.Context, action Action) error
}

// auditWriteAttempts limits the attempts to write a record whose response is lost.
const auditWriteAttempts = 4

// PlatformAuditLog stores audit records in the platform.
type PlatformAuditLog struct {
	store laceplatform.Store
}

// NewAuditLog returns an audit log that is stored in the platform.
func NewAuditLog(store laceplatform.Store) *PlatformAuditLog {
	return &PlatformAuditLog{
		store: store,
	}
}

func actionKey(id string) laceplatform.Key {
	return "audit/action/" + laceplatform.Key(id)
}

// Begin implements AuditLog.
func (l *PlatformAuditLog) Begin(ctx context.Context, a Action) (Action, bool, error) {
	text, err := laceyaml.Encode(actionFields(&a))
	if err != nil {
		return Action{}, false, err
	}
	for range auditWriteAttempts {
		_, err = l.store.Swap(ctx, laceplatform.Swap{
			Key:   actionKey(a.ID),
			Value: text,
		})
		switch {
		case err == nil:
			return a, false, nil
		case errors.Is(err, laceplatform.ErrConflict):
			existing, _, readErr := l.read(ctx, a.ID)
			return existing, true, readErr
		case !errors.Is(err, laceplatform.ErrUnknown):
			return Action{}, false, err
		}
		// After a lost response the next attempt conflicts with the record if it was written.
	}
	return Action{}, false, errors.Wrap(laceplatform.ErrUnavailable, "audit record")
}

// End implements AuditLog.
func (l *PlatformAuditLog) End(ctx context.Context, a Action) error {
	existing, revision, err := l.read(ctx, a.ID)
	if err != nil || existing.Result == a.Result {
		return err
	}
	existing.Result = a.Result
	text, err := laceyaml.Encode(actionFields(&existing))
	if err != nil {
		return err
	}
	_, err = l.store.Swap(ctx, laceplatform.Swap{
		Key:    actionKey(a.ID),
		Value:  text,
		Expect: revision,
	})
	return err
}

func (l *PlatformAuditLog) read(ctx context.Context, id string) (Action, laceplatform.Revision, error) {
	e, err := l.store.Get(ctx, actionKey(id))
	if err != nil {
		return Action{}, 0, err
	}
	var a Action
	if _, faults := laceyaml.Decode(e.Value, actionFields(&a)); len(faults) > 0 {
		return Action{}, 0, errors.Wrap(faults, "audit record")
	}
	return a, e.Revision, nil
}
