package laceemulator

import (
	"slices"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceunit"
)

// Errors of orders.
var (
	errStaleFence       = errors.New("emulator: fencing token is old")
	errUnknownOrderKind = errors.New("emulator: order of an unknown kind")
)

// order is a control command to an engine.
type order struct {
	Fence   laceunit.Fence   `json:"fence"`
	Kind    string           `json:"kind"`
	Model   laceunit.ModelID `json:"model,omitempty"`
	Adapter string           `json:"adapter,omitempty"`
	Version string           `json:"version,omitempty"`
	Role    string           `json:"role,omitempty"`
}

// Kinds of orders.
const (
	orderLoad    = "load"
	orderUnload  = "unload"
	orderAdapter = "adapter"
	orderVersion = "version"
	orderRole    = "role"
)

// maxAppliedOrders bounds the applied orders that an engine keeps and reports.
const maxAppliedOrders = 256

// orderState is the engine state that results from its orders; it is not safe for concurrent use.
type orderState struct {
	enforcesFencing bool
	fence           laceunit.Fence
	models          []laceunit.ModelID
	adapters        []string
	versions        map[laceunit.ModelID]string
	role            string
	applied         []order
}

// apply executes an order. An engine that does not enforce fencing executes any order, but still records the highest
// fencing token.
func (s *orderState) apply(o order) error {
	if s.enforcesFencing && o.Fence < s.fence {
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
		return errUnknownOrderKind
	}
	s.fence = max(s.fence, o.Fence)
	s.applied = append(s.applied, o)
	if len(s.applied) > maxAppliedOrders {
		s.applied = slices.Delete(s.applied, 0, len(s.applied)-maxAppliedOrders)
	}
	return nil
}
