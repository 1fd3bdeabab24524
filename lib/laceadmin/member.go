package laceadmin

import (
	"context"
	"strconv"

	"lacewingcove/lib/laceunit"
)

func (s *Server) instances(c call) (any, error) {
	all, err := s.deps.Members.Instances(c.Context())
	if err != nil {
		return nil, err
	}
	list := Instances{
		Instances: []Instance{},
	}
	for _, m := range all {
		list.Instances = append(list.Instances, Instance{
			ID:          string(m.Holder.Instance),
			Incarnation: strconv.FormatUint(uint64(m.Holder.Incarnation), 10),
			Address:     string(m.Address),
			Region:      string(m.Place.Region),
			Zone:        string(m.Place.Zone),
			State:       m.State,
		})
	}
	return list, nil
}

func (s *Server) fence(c call) (any, error) {
	o, err := decodeBody[Order](c)
	if err != nil {
		return nil, err
	}
	if err = c.requirePermission(PermissionMembers); err != nil {
		return nil, err
	}
	n, err := strconv.ParseUint(c.PathValue("incarnation"), 10, 64)
	if err != nil {
		return nil, newFault(BadRequest, "an incarnation is a whole number")
	}
	h := laceunit.Holder{
		Instance:    laceunit.InstanceID(c.PathValue("instance")),
		Incarnation: laceunit.Incarnation(n),
	}
	a := Action{
		ID:     o.ID,
		Kind:   "fence",
		Target: h.String(),
	}
	return s.perform(c, a, func(ctx context.Context) (int64, bool, error) {
		return 0, false, s.deps.Members.Fence(ctx, h)
	})
}

func (s *Server) drain(c call) (any, error) {
	o, err := decodeBody[Order](c)
	if err != nil {
		return nil, err
	}
	if err = c.requirePermission(PermissionMembers); err != nil {
		return nil, err
	}
	a := Action{
		ID:     o.ID,
		Kind:   "drain",
		Target: string(s.deps.Instance),
	}
	return s.perform(c, a,
		func(ctx context.Context) (int64, bool, error) { return 0, false, s.deps.Drainer.Drain(ctx) })
}
