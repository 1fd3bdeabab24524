package laceplatform_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against watches and connections that outlive their Close.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
