package lacebalancer

import (
	"testing"

	"lacewingcove/lib/laceconfig"
)

// Guards against a policy that is valid in the configuration but unknown to the balancer, which would then silently
// keep the previous policy.
func TestEveryConfigurablePolicyIsSupported(t *testing.T) {
	for _, name := range []string{laceconfig.PolicyAffinity, laceconfig.PolicyRoundRobin, laceconfig.PolicyLeastLoaded} {
		if _, err := NewPolicy[*server](name, 1.25); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}
