package laceconfig

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

func noon() time.Time { return time.Date(2026, 1, 2, 12, 0, 0, 0, time.UTC) }

func decodeFile(t testing.TB, text string) File {
	t.Helper()
	f, err := DecodeFile([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func newEdit(t testing.TB, id, text string) Edit {
	return Edit{ID: id, Author: "op-" + id, Time: noon(), File: decodeFile(t, text)}
}

// newSeededStore returns a platform with the document coop.yaml at version 1, and a store for it.
func newSeededStore(t testing.TB) (*fakePlatform, *Store) {
	t.Helper()
	f := newFakePlatform()
	s := NewStore(f)
	if _, err := s.Apply(context.Background(), newEdit(t, "seed", string(readSample(t, "coop.yaml")))); err != nil {
		t.Fatal(err)
	}
	return f, f.restart()
}

// baseText returns the base section of an edit that is based on the current state.
func baseText(t testing.TB, s *Store) string {
	t.Helper()
	f, err := s.Show(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	text := "base:\n"
	for _, n := range Sections() {
		if stamp, ok := f.Base[n]; ok {
			text += fmt.Sprintf("  %s: %s\n", n, stamp)
		}
	}
	return text
}

// checkHistory fails unless every accepted version has a complete record of its own.
func checkHistory(t *testing.T, s *Store) []Record {
	t.Helper()
	all, err := s.History(context.Background(), 0, 1000)
	if err != nil {
		t.Fatal(err)
	}
	snap, err := s.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if len(all) != int(snap.Head.Version) {
		t.Fatalf("%d records of %d accepted changes", len(all), snap.Head.Version)
	}
	for i, r := range all {
		if r.Version != snap.Head.Version-laceunit.Version(i) || r.Author != "op-"+r.EditID || len(r.Changes) == 0 {
			t.Fatalf("record %+v", r)
		}
	}
	return all
}

// Guards against accepting more than one of several concurrent edits of the same section.
func TestConcurrentEditsOfOneSectionConflict(t *testing.T) {
	f, s := newSeededStore(t)
	start := baseText(t, s)
	var wg sync.WaitGroup
	results := make([]error, 8)
	for i := range results {
		wg.Go(func() {
			text := fmt.Sprintf("%slimits: {waiting: %d}\n", start, 100+i)
			_, results[i] = NewStore(f).Apply(context.Background(), newEdit(t, fmt.Sprintf("e%d", i), text))
		})
	}
	wg.Wait()
	accepted := 0
	for _, err := range results {
		var c *ConflictError
		switch {
		case err == nil:
			accepted++
		case !errors.As(err, &c) || !strings.Contains(err.Error(), "section limits is at 2-"):
			t.Fatalf("got %v", err)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d edits based on the same state were accepted", accepted)
	}
	checkHistory(t, f.restart())
}

// Guards against an edit that is lost or rejected because of a concurrent edit of another section.
func TestConcurrentEditsOfDifferentSectionsMerge(t *testing.T) {
	f, s := newSeededStore(t)
	start := baseText(t, s)
	texts := map[string]string{
		"a": "limits: {waiting: 7}", "b": "audit: {keep: 48h}", "c": "routing: {queue: 9}",
		"d": "models: {assistant-large: {context: 9, output: 9}, assistant-small: {context: 8, output: 8}}",
	}
	var wg sync.WaitGroup
	for id, text := range texts {
		wg.Go(func() {
			if _, err := NewStore(f).Apply(context.Background(), newEdit(t, id, start+text)); err != nil {
				t.Errorf("%s: %v", id, err)
			}
		})
	}
	wg.Wait()
	s = f.restart()
	snap, err := s.Snapshot(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	d := snap.Document
	if d.Version != 5 || d.Limits.MaxQueued != 7 || d.Audit.Retention != 48*time.Hour || d.Routing.MaxQueued != 9 ||
		d.Models["assistant-large"].ContextWindow != 9 || len(d.Accounts) != 10 {
		t.Fatalf("merged document %+v", d)
	}
	checkHistory(t, s)
}

// Guards against a merge that reverts a concurrent edit of a section that this file contains unmodified.
func TestUnmodifiedSectionKeepsConcurrentEdit(t *testing.T) {
	_, s := newSeededStore(t)
	shown, err := s.Show(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	text, err := EncodeFile(shown)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = s.Apply(context.Background(), newEdit(t, "other", baseText(t, s)+"limits: {waiting: 7}")); err != nil {
		t.Fatal(err)
	}
	mine := strings.Replace(string(text), "queue: 256", "queue: 9", 1)
	if _, err = s.Apply(context.Background(), newEdit(t, "mine", mine)); err != nil {
		t.Fatal(err)
	}
	shown, err = s.Show(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	if d := shown.Document; d.Limits.MaxQueued != 7 || d.Routing.MaxQueued != 9 {
		t.Fatalf("limits %+v routing %+v", d.Limits, d.Routing)
	}
}

// Guards against merges of valid edits that leave a dangling reference.
func TestMergedDocumentIsValidated(t *testing.T) {
	_, s := newSeededStore(t)
	start := baseText(t, s)
	if _, err := s.Apply(context.Background(), newEdit(t, "a", start+"servers: {}")); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(context.Background(), newEdit(t, "b", start+"models: {}")); err != nil {
		t.Fatal(err)
	}
	back := strings.Replace(baseText(t, s)+string(readSample(t, "coop.yaml")),
		"models:\n  assistant-large", "models:\n  renamed", 1)
	_, err := s.Apply(context.Background(), newEdit(t, "c", back))
	var faults laceyaml.Faults
	if !errors.As(err, &faults) || faults[0].Line == 0 {
		t.Fatalf("got %v", err)
	}
}

// Guards against an edit that is applied twice, or reported wrongly, when the response to any of its writes is lost.
func TestEditWithLostResponseIsAppliedOnce(t *testing.T) {
	for _, result := range []outcome{appliedUnknown, discardedUnknown, crashBefore, crashAfter} {
		for n := 1; n < 12; n++ {
			f, s := newSeededStore(t)
			e := newEdit(t, "mine", baseText(t, s)+"limits: {waiting: 7}\naudit: {keep: 48h}")
			f.script = func(i int) outcome {
				if i == n {
					return result
				}
				return succeeds
			}
			first, err := s.Apply(context.Background(), e)
			if f.writes < n {
				break
			}
			accepted := f.values[HeadKey].Revision > 0 && strings.Contains(string(f.values[HeadKey].Value), "version: 2\n")
			switch {
			case err == nil && (!accepted || first.Version != 2):
				t.Fatalf("outcome %d of write %d: reported version %d, accepted %v", result, n, first.Version, accepted)
			case errors.Is(err, ErrUnavailable) && accepted:
				t.Fatalf("outcome %d of write %d: reported as unavailable, but the edit was accepted", result, n)
			case err != nil && !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown):
				t.Fatalf("outcome %d of write %d: %v", result, n, err)
			}
			checkRepeat(t, f, e, accepted)
		}
	}
}

// checkRepeat retries an edit after a later edit: an accepted one must neither be applied again nor conflict.
func checkRepeat(t *testing.T, f *fakePlatform, e Edit, accepted bool) {
	t.Helper()
	s := f.restart()
	want := 7
	if accepted {
		want = 8
		if _, err := s.Apply(context.Background(),
			newEdit(t, "other", baseText(t, s)+"limits: {waiting: 8}")); err != nil {
			t.Fatal(err)
		}
	}
	r, err := s.Apply(context.Background(), e)
	if err != nil || r.Version != 2 || r.Repeated != accepted {
		t.Fatalf("repeat of an edit with accepted %v: %+v, %v", accepted, r, err)
	}
	snap, err := s.Snapshot(context.Background())
	if err != nil || snap.Document.Limits.MaxQueued != want {
		t.Fatalf("limits %+v, %v", snap.Document.Limits, err)
	}
}

// Guards against an accepted change without an audit record because the instance crashed before writing it.
func TestCrashBetweenHeadAndAuditRecord(t *testing.T) {
	crashes := 0
	for n := 1; n < 12; n++ {
		f, s := newSeededStore(t)
		e := newEdit(t, "mine", baseText(t, s)+"limits: {waiting: 7}")
		f.script = func(i int) outcome {
			if i == n {
				return crashAfter
			}
			return succeeds
		}
		_, _ = s.Apply(context.Background(), e)
		if f.writes < n {
			break
		}
		crashes++
		s = f.restart()
		if _, err := s.Apply(context.Background(),
			newEdit(t, "next", baseText(t, s)+"routing: {queue: 9}")); err != nil {
			t.Fatal(err)
		}
		h, err := s.Head(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		for v := laceunit.Version(1); v <= h.Version; v++ {
			if _, ok := f.values[auditKey(v)]; !ok {
				t.Fatalf("crash after write %d: version %d has no record", n, v)
			}
		}
		checkHistory(t, s)
	}
	if crashes < 4 {
		t.Fatalf("only %d writes in an edit", crashes)
	}
}

// Guards against a different edit with a reused id that is taken for a repetition of the earlier one.
func TestReusedEditID(t *testing.T) {
	_, s := newSeededStore(t)
	start := baseText(t, s)
	if _, err := s.Apply(context.Background(), newEdit(t, "a", start+"limits: {waiting: 7}")); err != nil {
		t.Fatal(err)
	}
	if r, err := s.Apply(context.Background(), newEdit(t, "a", start+"limits: {waiting: 7}")); err != nil ||
		!r.Repeated {
		t.Fatalf("got %+v, %v", r, err)
	}
	if _, err := s.Apply(context.Background(),
		newEdit(t, "a", start+"limits: {waiting: 8}")); !errors.Is(err, ErrEditIDReused) {
		t.Fatalf("got %v", err)
	}
}

// Guards against bodies that are deleted while the head refers to them, and against unreferenced ones that remain.
func TestUnreferencedBodiesAreDeleted(t *testing.T) {
	f, s := newSeededStore(t)
	for i, waiting := range []int{1, 2, 1, 2, 1} {
		text := fmt.Sprintf("%slimits: {waiting: %d}", baseText(t, s), waiting)
		if _, err := s.Apply(context.Background(), newEdit(t, fmt.Sprint(i), text)); err != nil {
			t.Fatal(err)
		}
		if _, err := NewStore(f).Snapshot(context.Background()); err != nil {
			t.Fatalf("edit %d: %v", i, err)
		}
	}
	_, _ = s.Apply(context.Background(), newEdit(t, "refused", baseText(t, s)+"models: {}"))
	if err := s.putBody(context.Background(), part{digest: "orphan", text: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Apply(context.Background(), newEdit(t, "last", baseText(t, s)+"limits: {waiting: 3}")); err != nil {
		t.Fatal(err)
	}
	if n, err := s.Sweep(context.Background()); err != nil || n != 1 {
		t.Fatalf("swept %d, %v", n, err)
	}
	h, err := s.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	all, _, _ := f.List(context.Background(), bodyPrefix)
	if used := referencedBodies(h.Sections); len(all) != len(used) {
		t.Fatalf("%d bodies, %d in use", len(all), len(used))
	}
}

// Guards against a body that a delayed cleanup deletes after another edit has reused it.
func TestCleanupKeepsReusedBodies(t *testing.T) {
	f, s := newSeededStore(t)
	if _, err := s.Apply(context.Background(), newEdit(t, "a", baseText(t, s)+"limits: {waiting: 1}")); err != nil {
		t.Fatal(err)
	}
	slow, err := s.Head(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	text := baseText(t, s) + "limits: {account: {requests: 50, tokens: 20000, concurrent: 100}}"
	if _, err = s.Apply(context.Background(), newEdit(t, "b", text)); err != nil {
		t.Fatal(err)
	}
	s.deleteSupersededBodies(context.Background(), slow)
	if _, err = NewStore(f).Snapshot(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// Guards against records that reveal key hashes, and against ones that are kept beyond audit.keep.
func TestAuditRecordsAreRedactedAndExpire(t *testing.T) {
	f, s := newSeededStore(t)
	for k, e := range f.values {
		if strings.HasPrefix(string(k), "audit/") && strings.Contains(string(e.Value), sampleKeyHash(t)) {
			t.Fatalf("%s reveals a key hash", k)
		}
	}
	for i, text := range []string{"audit: {keep: 24h}", "limits: {waiting: 1}"} {
		e := newEdit(t, fmt.Sprint(i), baseText(t, s)+text)
		e.Time = noon().Add(time.Duration(i)*24*time.Hour + time.Minute)
		if _, err := s.Apply(context.Background(), e); err != nil {
			t.Fatal(err)
		}
	}
	if _, ok := f.values[auditKey(1)]; ok {
		t.Fatal("record 1 is kept beyond audit.keep")
	}
	all, err := s.History(context.Background(), 0, 10)
	if err != nil || len(all) != 2 {
		t.Fatalf("%d records, %v", len(all), err)
	}
}

func sampleKeyHash(t *testing.T) string {
	d, err := Decode(readSample(t, "coop.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return d.Accounts["bakery"].Keys[0].Hash
}
