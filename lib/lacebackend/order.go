package lacebackend

import (
	"context"
	"encoding/json"
	"net/http"

	"lacewingcove/lib/laceunit"
)

// OrderKind says what an order asks for.
type OrderKind string

// The kinds of orders.
const (
	OrderLoad    OrderKind = "load"
	OrderUnload  OrderKind = "unload"
	OrderAdapter OrderKind = "adapter"
	OrderVersion OrderKind = "version"
	OrderRole    OrderKind = "role"
)

// Order tells an engine what to load or which role to take.
type Order struct {
	Fence   laceunit.Fence
	Kind    OrderKind
	Model   laceunit.ModelID
	Adapter string
	Version string
	Role    string
}

// Condition is what an engine holds and the highest fencing token it has seen.
type Condition struct {
	Fence    laceunit.Fence
	Role     string
	Models   []laceunit.ModelID
	Adapters []string
	Versions map[laceunit.ModelID]string
}

// Commander sends orders to engines and reads their condition back.
type Commander interface {
	// Order sends one order; ErrRefused stands for an old fencing token among other refusals.
	Order(ctx context.Context, server laceunit.Address, order Order) error
	// Condition reads back what the engine holds.
	Condition(ctx context.Context, server laceunit.Address) (Condition, error)
}

type wireOrder struct {
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"`
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

type wireCondition struct {
	Fence    uint64            `json:"fence"`
	Role     string            `json:"role"`
	Models   []string          `json:"models"`
	Adapters []string          `json:"adapters"`
	Versions map[string]string `json:"versions"`
}

// Order implements Commander.
func (h *HTTP) Order(ctx context.Context, server laceunit.Address, order Order) error {
	body, err := json.Marshal(wireOrder{
		Fence:   uint64(order.Fence),
		Kind:    string(order.Kind),
		Model:   string(order.Model),
		Adapter: order.Adapter,
		Version: order.Version,
		Role:    order.Role,
	})
	if err != nil {
		return &Error{
			Effect: EffectNone,
			Reason: ErrRequest,
			Server: server,
			Cause:  err,
		}
	}
	return h.control(ctx, outgoing{
		server: server,
		method: http.MethodPost,
		path:   "/v1/orders",
		header: http.Header{"Content-Type": {"application/json"}},
		body:   body,
	}, nil)
}

// Condition implements Commander.
func (h *HTTP) Condition(ctx context.Context, server laceunit.Address) (Condition, error) {
	var w wireCondition
	err := h.control(ctx, outgoing{
		server: server,
		method: http.MethodGet,
		path:   "/v1/orders",
	}, &w)
	if err != nil {
		return Condition{}, err
	}
	c := Condition{
		Fence:    laceunit.Fence(w.Fence),
		Role:     w.Role,
		Adapters: w.Adapters,
		Versions: map[laceunit.ModelID]string{},
	}
	for _, m := range w.Models {
		c.Models = append(c.Models, laceunit.ModelID(m))
	}
	for m, v := range w.Versions {
		c.Versions[laceunit.ModelID(m)] = v
	}
	return c, nil
}
