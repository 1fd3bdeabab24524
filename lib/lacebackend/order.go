package lacebackend

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/pkg/errors"

	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceunit"
)

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

// Order implements laceorder.Commander. A server refuses an old fencing token with status 409.
func (h *HTTPClient) SendOrder(ctx context.Context, server laceunit.Address, order laceorder.Order) (laceorder.Outcome, error) {
	body, err := json.Marshal(wireOrder{
		Fence:   uint64(order.Fence),
		Kind:    string(order.Kind),
		Model:   string(order.Model),
		Adapter: order.Adapter,
		Version: order.Version,
		Role:    order.Role,
	})
	if err != nil {
		return laceorder.OutcomeNotApplied, &Error{
			Effect: EffectNone,
			Reason: ErrInvalidRequest,
			Server: server,
			Cause:  err,
		}
	}
	err = h.control(ctx, outgoing{
		server:  server,
		method:  http.MethodPost,
		path:    "/v1/orders",
		header:  http.Header{"Content-Type": {"application/json"}},
		body:    body,
		patient: true,
	}, nil)
	var fault *Error
	switch {
	case err == nil:
		return laceorder.OutcomeApplied, nil
	case errors.As(err, &fault) && fault.Status == http.StatusConflict:
		return laceorder.OutcomeFenced, err
	case EffectOf(err) == EffectNone:
		return laceorder.OutcomeNotApplied, err
	}
	return laceorder.OutcomeUnknown, err
}

// Condition implements laceorder.Commander.
func (h *HTTPClient) ReadState(ctx context.Context, server laceunit.Address) (laceorder.EngineState, error) {
	var w wireCondition
	err := h.control(ctx, outgoing{
		server: server,
		method: http.MethodGet,
		path:   "/v1/orders",
	}, &w)
	if err != nil {
		return laceorder.EngineState{}, err
	}
	c := laceorder.EngineState{
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
