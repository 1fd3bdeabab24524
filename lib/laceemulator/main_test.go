package laceemulator

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against engines, platforms and watches that outlive their Close.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
