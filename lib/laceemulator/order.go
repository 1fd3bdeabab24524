package laceemulator

import (
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Errors of orders.
var (
	errStaleFence = errors.New("emulator: fencing token is old")
	errBadOrder   = errors.New("emulator: order of an unknown kind")
)

// order is an instruction to an engine.
type order struct {
	Fence   laceunit.Fence   `json:"fence"`
	Kind    string           `json:"kind"`
	Model   laceunit.ModelID `json:"model,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Version string           `json:"version,omitempty"`
	Role    string           `json:"role,omitempty"`
}

// The kinds of orders.
const (
	orderLoad    = "load"
	orderUnload  = "unload"
	orderAdapter = "adapter"
	orderVersion = "version"
	orderRole    = "role"
)

// keptOrders bounds the orders that an engine reports back.
const keptOrders = 256

// orders is what an engine has been told; it is not safe for concurrent use.
type orders struct {
	fencing  bool
	fence    laceunit.Fence
	models   []laceunit.ModelID
	adapters []string
	versions map[laceunit.ModelID]string
	role     string
	log      []order
}

// apply carries out an order. An engine without fencing carries out what comes, but still records the token.
func (s *orders) apply(o order) error {
	if s.fencing && o.Fence < s.fence {
		return errStaleFence
	}
	switch o.Kind {
	case orderLoad:
		if !slices.Contains(s.models, o.Model) {
			s.models = append(s.models, o.Model)
		}
	case orderUnload:
		s.models = slices.DeleteFunc(s.models, func(m laceunit.ModelID) bool { return m == o.Model })
	case orderAdapter:
		if !slices.Contains(s.adapters, o.Adapter) {
			s.adapters = append(s.adapters, o.Adapter)
		}
	case orderVersion:
		if s.versions == nil {
			s.versions = map[laceunit.ModelID]string{}
		}
		s.versions[o.Model] = o.Version
	case orderRole:
		s.role = o.Role
	default:
		return errBadOrder
	}
	s.fence = max(s.fence, o.Fence)
	s.log = append(s.log, o)
	if len(s.log) > keptOrders {
		s.log = slices.Delete(s.log, 0, len(s.log)-keptOrders)
	}
	return nil
}
