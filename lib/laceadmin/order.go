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
	// Do returns when the server has executed the order or the context ends.
	Do(ctx context.Context, job laceorder.Job) error
}

const (
	actionOrder = "order"
	// orderTimeout limits the wait for an order and leaves time to record its result. It covers the expiry of the lease
	// of a failed holder, 10 s, and the wait for that holder's last order.
	orderTimeout = timeout - 5*time.Second
)

func (s *Server) order(c call) (any, error) {
	o, err := decodeBody[ServerOrder](c)
	if err != nil {
		return nil, err
	}
	if err = c.requirePermission(Permission(laceconfig.SectionServers)); err != nil {
		return nil, err
	}
	if s.deps.Orders == nil {
		return nil, newFault(Unavailable, "this instance sends no orders")
	}
	job, err := o.toJob()
	if err != nil {
		return nil, err
	}
	f, err := s.deps.Configuration.Show(c.Context())
	if err != nil {
		return nil, err
	}
	id := laceunit.ServerID(c.PathValue("server"))
	server, ok := f.Document.Servers[id]
	switch {
	case !ok:
		return nil, newFault(NotFound, "the document lists no backend server "+string(id))
	case server.Kind != laceconfig.KindEngine:
		return nil, newFault(BadRequest, "orders are for model engines, and "+string(id)+" is none")
	}
	job.Server, job.Address, job.Fencing = id, server.Address, server.SupportsFencing
	a := Action{
		ID:     o.ID,
		Kind:   actionOrder,
		Target: string(id) + " " + o.summary(),
	}
	return s.perform(c, a, func(ctx context.Context) (int64, bool, error) {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		return 0, false, s.deps.Orders.Do(ctx, job)
	})
}

// requiredFields returns the fields that an order of this kind must set, and false for an unknown kind; all other
// fields must be empty.
func (o ServerOrder) requiredFields() (map[string]bool, bool) {
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

// fields returns the parameters of an order by name, in a fixed sequence.
func (o ServerOrder) fields() [][2]string {
	return [][2]string{{"model", o.Model}, {"adapter", o.Adapter}, {"version", o.Version}, {"role", o.Role}}
}

// summary describes the order in audit records.
func (o ServerOrder) summary() string {
	words := []string{o.Kind}
	for _, f := range o.fields() {
		if f[1] != "" {
			words = append(words, f[0]+"="+f[1])
		}
	}
	return strings.Join(words, " ")
}

func (o ServerOrder) toJob() (laceorder.Job, error) {
	required, ok := o.requiredFields()
	if !ok {
		return laceorder.Job{}, newFault(BadRequest, "kind is one of load, adapter, version, role")
	}
	for _, f := range o.fields() {
		if required[f[0]] != (f[1] != "") || (f[1] != "" && !laceyaml.IsID(f[1])) {
			return laceorder.Job{}, newFault(BadRequest, f[0]+" is missing, malformed or not part of the order "+o.Kind)
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
		job.Cost = 1 // the engine loads the weights of one model
	}
	return job, nil
}
