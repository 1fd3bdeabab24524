package lacebalancer

import (
	"testing"

	"lacewingcove/lib/laceconfig"
)

// Guards against a policy that a valid document can name and the balancer does not know: it would keep the former one
// without a word.
func TestEveryPolicyOfADocumentIsKnown(t *testing.T) {
	for _, name := range []string{laceconfig.PolicyAffinity, laceconfig.PolicyRoundRobin, laceconfig.PolicyLeast} {
		if _, err := NewPolicy[*server](name, 1.25); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
