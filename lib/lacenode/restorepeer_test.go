package lacenode

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"

	"lacewingcove/lib/lacemirror"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/lacewire"
)

// eraDelta returns a full delta of an era with a configuration.
func eraDelta(t *testing.T, era, complete, revision int64, value []byte) lacemirror.Delta {
	t.Helper()
	d := delta("op/", revision, "op/config")
	d.Revision, d.Era, d.Entries[0].Value = complete, &era, value
	return lacewire.ToMirrorDelta(d)
}

// configuration returns a configuration that does not compress to a few bytes.
func configuration(t *testing.T, version int64) []byte {
	t.Helper()
	value, err := json.Marshal(map[string]any{"version": version, "routes": string(routesJSON(5000))})
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// Guards against answers that are rejected as malformed after a restore: two instances hold different values of a key at
// one revision, and a delta is packed against the wrong one.
func TestDeltaAfterRestoreIsPackedAgainstTheReceiversBase(t *testing.T) {
	sequence := func(e laceplatform.Entry) (lacemirror.Sequence, bool) {
		var w struct{ Version int64 }
		err := json.Unmarshal(e.Value, &w)
		return lacemirror.Sequence{Number: w.Version}, err == nil
	}
	source, replica := newTestPeer(t, "op/"), newTestPeer(t, "op/")
	for _, p := range []*testPeer{source, replica} {
		p.node.followers[0].SetSequencer(sequence)
	}
	older, newer := configuration(t, 4), configuration(t, 5)
	// The source knows the version that the restored store lacks; the replica has started since.
	source.node.followers[0].Merge(eraDelta(t, 1, 20, 15, newer))
	source.node.followers[0].Merge(eraDelta(t, 2, 10, 5, older))
	replica.node.followers[0].Merge(eraDelta(t, 2, 10, 5, older))
	// The operator writes the version again.
	source.node.followers[0].Merge(eraDelta(t, 2, 12, 12, newer))
	q := replica.newQuery(maxRoundDeltaBytes, true)
	answer, err := source.Fetch(context.Background(), q.request)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = replica.applyAnswer("partner", replica.now, q, answer); err != nil {
		t.Errorf("the answer to a valid query was rejected: %v", err)
	}
	if _, value := replica.node.followers[0].Base(); !bytes.Equal(value, newer) {
		t.Error("the replica does not have the configuration that was written again")
	}
}
