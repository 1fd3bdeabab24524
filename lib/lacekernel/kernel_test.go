package lacekernel

import (
	"context"
	"testing"

	"github.com/pkg/errors"
)

type recorder struct {
	name    string
	log     *[]string
	started chan struct{}
}

func (r *recorder) Serve(ctx context.Context) error {
	close(r.started)
	<-ctx.Done()
	return ctx.Err()
}

func (r *recorder) Close() error {
	*r.log = append(*r.log, r.name)
	return nil
}

// Guards against services that are closed before the ones that depend on them.
func TestCloseRunsInReverseOrder(t *testing.T) {
	var log []string
	k := New()
	first := &recorder{name: "first", log: &log, started: make(chan struct{})}
	second := &recorder{name: "second", log: &log, started: make(chan struct{})}
	for _, r := range []*recorder{first, second} {
		if err := k.Register(Name(r.name), r); err != nil {
			t.Fatal(err)
		}
	}
	k.Start(context.Background())
	<-first.started
	<-second.started
	if err := k.Close(); err != nil {
		t.Fatal(err)
	}
	if len(log) != 2 || log[0] != "second" || log[1] != "first" {
		t.Fatalf("close order %v", log)
	}
}

// Guards against a lookup that hands out a service of the wrong type or a name used twice.
func TestLookupAndRegisterErrors(t *testing.T) {
	k := New()
	if err := k.Register("a", 1); err != nil {
		t.Fatal(err)
	}
	if err := k.Register("a", 2); !errors.Is(err, ErrAlreadyRegistered) {
		t.Fatalf("got %v", err)
	}
	if _, err := Lookup[string](k, "a"); !errors.Is(err, ErrWrongType) {
		t.Fatalf("got %v", err)
	}
	if _, err := Lookup[int](k, "b"); !errors.Is(err, ErrNotRegistered) {
		t.Fatalf("got %v", err)
	}
	if v, err := Lookup[int](k, "a"); err != nil || v != 1 {
		t.Fatalf("got %v, %v", v, err)
	}
}
