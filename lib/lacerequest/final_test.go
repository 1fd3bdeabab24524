package lacerequest

import "testing"

// Guards against attempts that are repeated although they fail for a reason that the instance has, such as a lack of
// memory: each reads a large response again.
func TestFinalFailureIsNotRetried(t *testing.T) {
	for _, final := range []bool{false, true} {
		m, _ := New(Spec{Idempotent: true})
		var dispatched Dispatch
		for _, e := range m.Step(Picked{Server: "s1"}) {
			if d, ok := e.(Dispatch); ok {
				dispatched = d
			}
		}
		retried := false
		for _, e := range m.Step(Failed{
			Attempt: dispatched.Attempt,
			Class:   MayHaveRun,
			Final:   final,
		}) {
			if _, ok := e.(Pick); ok {
				retried = true
			}
		}
		if retried == final {
			t.Errorf("final %v: retried %v", final, retried)
		}
	}
}
