package laceemulator

import (
	"testing"

	"go.uber.org/goleak"
)

// Guards against engines, platforms and watches that leak goroutines after Close.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
