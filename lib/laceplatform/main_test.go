package laceplatform_test

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against watches and connections that leak after Close.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
