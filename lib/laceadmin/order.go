package laceadmin

import (
	"context"
	"strings"
	"time"

	"lacewingcove/lib/laceconfig"
	"lacewingcove/lib/laceorder"
	"lacewingcove/lib/laceunit"
	"lacewingcove/lib/laceyaml"
)

// Orders sends orders to backend servers; laceorder.Service does.
type Orders interface {
	// Do returns once the server has carried the order out, or when the context ends.
	Do(ctx context.Context, job laceorder.Job) error
}

const (
	actionOrder = "order"
	// orderTimeout bounds the wait for an order and leaves time to record its result. It covers the lease of a holder
	// that is gone, 10 s, and the wait for that holder's last order.
	orderTimeout = timeout - 5*time.Second
)

func (s *Server) order(c call) (any, error) {
	o, err := body[ServerOrder](c)
	if err != nil {
		return nil, err
	}
	if err = c.need(Permission(laceconfig.SectionServers)); err != nil {
		return nil, err
	}
	if s.parts.Orders == nil {
		return nil, fault(Unavailable, "this instance sends no orders")
	}
	job, err := o.job()
	if err != nil {
		return nil, err
	}
	f, err := s.parts.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	id := laceunit.ServerID(c.PathValue("server"))
	server, ok := f.Document.Servers[id]
	switch {
	case !ok:
		return nil, fault(NotFound, "the document lists no backend server "+string(id))
	case server.Kind != laceconfig.KindEngine:
		return nil, fault(BadRequest, "orders are for model engines, and "+string(id)+" is none")
	}
	job.Server, job.Address, job.Fencing = id, server.Address, server.SupportsFencing
	a := Action{
		ID:     o.ID,
		Kind:   actionOrder,
		Target: string(id) + " " + o.text(),
	}
	return s.act(c, a, func(ctx context.Context) (int64, bool, error) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return 0, false, s.parts.Orders.Do(ctx, job)
	})
}

// needs lists what an order of a kind has to name; it may name nothing else.
func (o ServerOrder) needs() (map[string]bool, bool) {
	switch laceorder.Kind(o.Kind) {
	case laceorder.KindLoad:
		return map[string]bool{"model": true}, true
	case laceorder.KindAdapter:
		return map[string]bool{"adapter": true}, true
	case laceorder.KindVersion:
		return map[string]bool{"model": true, "version": true}, true
	case laceorder.KindRole:
		return map[string]bool{"role": true}, true
	default:
		return nil, false
	}
}

// fields returns what an order names, in a fixed order.
func (o ServerOrder) fields() [][2]string {
	return [][2]string{{"model", o.Model}, {"adapter", o.Adapter}, {"version", o.Version}, {"role", o.Role}}
}

// text describes the order in audit records.
func (o ServerOrder) text() string {
	words := []string{o.Kind}
	for _, f := range o.fields() {
		if f[1] != "" {
			words = append(words, f[0]+"="+f[1])
		}
	}
	return strings.Join(words, " ")
}

func (o ServerOrder) job() (laceorder.Job, error) {
	needs, ok := o.needs()
	if !ok {
		return laceorder.Job{}, fault(BadRequest, "kind is one of load, adapter, version, role")
	}
	for _, f := range o.fields() {
		if needs[f[0]] != (f[1] != "") || (f[1] != "" && !laceyaml.IsID(f[1])) {
			return laceorder.Job{}, fault(BadRequest, f[0]+" is missing, malformed or not part of the order "+o.Kind)
		}
	}
	job := laceorder.Job{
		ID: laceorder.ID(o.ID),
		Order: laceorder.Order{
			Kind:    laceorder.Kind(o.Kind),
			Model:   laceunit.ModelID(o.Model),
			Adapter: o.Adapter,
			Version: o.Version,
			Role:    o.Role,
		},
	}
	if job.Order.Kind == laceorder.KindLoad {
		job.Cost = 1 // an engine reads the weights of one model
	}
	return job, nil
}
