package lacestream

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"lacewingcove/lib/lacelog"
	"lacewingcove/lib/laceplatform"
	"lacewingcove/lib/laceunit"
)

// Guards against a record of another writer that stops an instance or names a version, and against one that is read
// differently than it was written.
func TestRecordsAreChecked(t *testing.T) {
	streams := map[streamKey]laceunit.SoftwareVersion{}
	for _, text := range []string{"", "{", "[]]", `[{"version":"v1","streams":"AAAA"}]`, `[{"version":1}]`, "null"} {
		_ = decodeStreams([]byte(text), streams)
		if _, _, err := decodeVersion([]byte(text)); err == nil {
			t.Errorf("%q is read as a version", text)
		}
	}
	if len(streams) > 0 {
		t.Errorf("streams %v", streams)
	}
	value, err := encodeStreams(map[laceunit.SoftwareVersion][]streamKey{"v1": {1, 1 << 63}, "": {2}})
	if err == nil {
		err = decodeStreams(value, streams)
	}
	if err != nil || len(streams) != 3 || streams[1] != "v1" || streams[1<<63] != "v1" || streams[2] != "" {
		t.Errorf("streams %v, error %v", streams, err)
	}
}

// Guards against memory that grows with the number of streams, and against a running stream that is forgotten.
func TestRememberedStreamsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	n := notes{byKey: map[streamKey]*note{}}
	n.begin(0, simulatedService, "v1")
	for k := range streamKey(maxNotes - 1) {
		n.begin(k+1, simulatedService, "v1")
		n.end(now, k+1, k%2 == 0)
	}
	n.expire(now.Add(completedAge))
	if len(n.byKey) != maxNotes/2 || n.byKey[0] == nil {
		t.Errorf("%d of %d streams are remembered after %s", len(n.byKey), maxNotes, completedAge)
	}
	if n := len(n.stored(map[laceunit.ServiceID]bool{simulatedService: true})["v1"]); n != maxStored {
		t.Errorf("%d streams are noted", n)
	}
	n.expire(now.Add(memory))
	if len(n.byKey) != 1 || len(n.order) != 1 {
		t.Errorf("%d streams are remembered after %s", len(n.byKey), memory)
	}
	for k := range streamKey(2 * maxNotes) {
		n.begin(k, simulatedService, "v1")
	}
	if len(n.byKey) > maxNotes {
		t.Errorf("%d streams are remembered", len(n.byKey))
	}
}

// silentStore is a store that does not answer.
type silentStore struct{ laceplatform.Store }

// List implements laceplatform.Store.
func (silentStore) List(ctx context.Context, _ laceplatform.Key) ([]laceplatform.Entry, laceplatform.Revision, error) {
	<-ctx.Done()
	return nil, 0, laceplatform.ErrUnavailable
}

// Guards against clients that wait for each other's reads of a store that does not answer, instead of being refused.
func TestUnknownStreamsAreRefusedSoonWithoutStore(t *testing.T) {
	for _, versions := range []map[laceunit.SoftwareVersion]bool{{"v1": true}, {"v1": true, "v2": true}} {
		s := New(Options{
			Store:   silentStore{},
			Current: func() bool { return true },
			Members: func() int { return 1 },
			Log:     lacelog.Discard(),
		})
		s.SetServing(versionsOf(versions))
		started := time.Now()
		var clients sync.WaitGroup
		for i := range 20 {
			clients.Go(func() {
				if v, ok := s.Find(t.Context(), simulatedService, laceunit.AttemptID(fmt.Sprint(i))); ok {
					t.Errorf("the version of an unknown stream is %s", v)
				}
			})
		}
		clients.Wait()
		if took := time.Since(started); took > 3*readTimeout {
			t.Errorf("20 refusals with %d versions took %s", len(versions), took)
		}
	}
}

// Guards against a version that counts as the only one of a service whose versions were all recorded after the backup from
// which the store was restored, before the others are recorded again.
func TestRecordsOfRestoredStoreAreConfirmedLate(t *testing.T) {
	s := newSimulation(t, 3)
	s.advance(newsDelay)
	s.store.restore(map[laceplatform.Key]laceplatform.Entry{})
	confirmed := func() bool {
		for _, e := range s.store.entries {
			_, era, err := decodeVersion(e.Value)
			if err == nil && era == s.store.era {
				return true
			}
		}
		return false
	}
	for end := s.now.Add(restorePeriod); s.now.Before(end); s.advance(simulationStep) {
		s.begin()
		if confirmed() {
			t.Fatalf("confirmed %s before the end of the period", end.Sub(s.now))
		}
	}
	s.advance(newsDelay + retryDelay)
	if len(s.store.entries) != 1 || !confirmed() {
		t.Errorf("%d records, confirmed %t", len(s.store.entries), confirmed())
	}
}

// Guards against a stream that is bound by an earlier one which the same attempt began.
func TestAttemptSentAgainBeginsAnotherStream(t *testing.T) {
	s := New(Options{Store: newSimulation(t, 1).store})
	for _, v := range []laceunit.SoftwareVersion{"v1", "v2"} {
		s.Begin(t.Context(), simulatedService, "attempt", v)
		s.End(simulatedService, "attempt", false)
		if got, ok := s.Find(t.Context(), simulatedService, "attempt"); got != v || !ok {
			t.Errorf("a stream of %s is bound to %q", v, got)
		}
	}
}
