package lacenode

import (
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacequarantine"
	"lacewingcove/lib/lacewire"
)

// newQuarantine returns the service that keeps requests with prompt parts that crash servers away from the servers.
func (n *Node) newQuarantine(store Store) *lacequarantine.Service {
	return lacequarantine.New(lacequarantine.Options{
		Self:    n.settings.Instance,
		Store:   store,
		Keys:    QuarantineKeys(),
		Log:     n.log,
		Metrics: lacequarantine.NewMetrics(n.registry),
	})
}

// QuarantineKeys returns the key prefixes of the crashes of servers and of the verdicts that follow from them.
func QuarantineKeys() lacequarantine.Keys {
	return lacequarantine.Keys{
		Reports:  crashPrefix,
		Verdicts: verdictPrefix,
	}
}

// unsavedRecords returns the records for other instances that are not in the store yet.
func (r *replicator) unsavedRecords() []*lacewire.UnsavedRecord {
	if r.node.quarantine == nil {
		return nil
	}
	var messages []*lacewire.UnsavedRecord
	for _, x := range r.node.quarantine.Unsaved() {
		messages = append(messages, &lacewire.UnsavedRecord{
			Key:     string(x.Key),
			Value:   x.Value,
			Version: x.Version,
		})
	}
	return messages
}

// applyUnsaved applies records of another instance that are not in the store yet.
func (r *replicator) applyUnsaved(source string, messages []*lacewire.UnsavedRecord) {
	if r.node.quarantine == nil {
		return
	}
	for _, m := range messages {
		if err := r.node.quarantine.ApplyUnsaved(lacequarantine.Record{
			Key:     laceplatform.Key(m.GetKey()),
			Value:   m.GetValue(),
			Version: m.GetVersion(),
		}); err != nil {
			r.node.rejectMessage("unsaved record", source)
		}
	}
}
