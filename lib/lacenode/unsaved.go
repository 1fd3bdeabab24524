package lacenode

import (
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacequarantine"
	"lacewingcove/lib/lacewire"
)

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
