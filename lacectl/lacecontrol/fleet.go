package lacecontrol

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"lacewingcove/lib/laceadmin"
)

func fleetCommands() []command {
	var order laceadmin.ServerOrder
	return []command{
		{
			name: "members list", run: listMembers,
			short:   "lists the instances of the membership",
			example: "lacectl members list",
		},
		{
			name: "members fence", argNames: "INSTANCE INCARNATION", argCount: 2, mutating: true, run: fenceInstance,
			short:   "declares that an instance's process is gone for good; only when it is certain that it does not run",
			example: "lacectl members fence router-3 7587862345",
		},
		{
			name: "servers list", run: listServers,
			short:   "lists the backend servers of the document",
			example: "lacectl servers list",
		},
		{
			name: "servers order", argNames: "SERVER KIND", argCount: 2, mutating: true,
			registerFlags: func(set *flag.FlagSet, _ *invocation) {
				set.StringVar(&order.Model, "model", "", "model of a load or a version")
				set.StringVar(&order.Adapter, "adapter", "", "adapter of an adapter order")
				set.StringVar(&order.Version, "version", "", "version of a version order")
				set.StringVar(&order.Role, "role", "", "role of a role order")
			},
			run:     func(ctx context.Context, j *invocation) error { return orderServer(ctx, j, order) },
			short:   "tells a model engine to load a model, an adapter or a version, or to change its role, and waits for it",
			example: "lacectl servers order engine-1 load -model draft-small",
		},
		{
			name: "drain", mutating: true, run: drainInstance,
			short:   "starts the planned stop of the one instance that -address names",
			example: "lacectl drain -address 10.0.0.3:8082",
		},
	}
}

func listMembers(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	response, err := c.Instances(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, i := range response.Instances {
		rows = append(rows, []string{i.ID, i.Incarnation, i.Address, i.Region, i.Zone, i.State})
	}
	return j.printResult(response, []string{"INSTANCE", "INCARNATION", "ADDRESS", "REGION", "ZONE", "STATE"}, rows)
}

func fenceInstance(ctx context.Context, j *invocation) error {
	if _, err := strconv.ParseUint(j.args[1], 10, 64); err != nil {
		return newUsageError("INCARNATION is a whole number; members list shows it")
	}
	return j.runAction(ctx, fmt.Sprintf("fence incarnation %s of instance %s", j.args[1], j.args[0]),
		func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
			return c.Fence(ctx, j.args[0], j.args[1], laceadmin.Order{
				ID: id,
			})
		})
}

func listServers(ctx context.Context, j *invocation) error {
	c, err := j.client()
	if err != nil {
		return err
	}
	response, err := c.Servers(ctx)
	if err != nil {
		return err
	}
	var rows [][]string
	for _, s := range response.Servers {
		rows = append(rows, []string{
			s.ID, s.Kind, s.Address, s.Zone, strings.Join(append(s.Models, s.Services...), ","),
			strconv.Itoa(s.Slots), strconv.FormatBool(s.SupportsFencing), strconv.FormatBool(s.Leaving),
		})
	}
	return j.printResult(response, []string{"SERVER", "KIND", "ADDRESS", "ZONE", "OFFERS", "SLOTS", "FENCING", "LEAVING"}, rows)
}

func orderServer(ctx context.Context, j *invocation, o laceadmin.ServerOrder) error {
	o.Kind = j.args[1]
	description := "order " + j.args[0] + " to " + o.Kind
	for _, x := range []string{o.Model, o.Adapter, o.Version, o.Role} {
		if x != "" {
			description += " " + x
		}
	}
	return j.runAction(ctx, description, func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
		o.ID = id
		return c.SendOrder(ctx, j.args[0], o)
	})
}

func drainInstance(ctx context.Context, j *invocation) error {
	if strings.Contains(j.addresses, ",") {
		return newUsageError("-address must name exactly the instance to drain")
	}
	return j.runAction(ctx, "drain "+j.addresses, func(c *laceadmin.Client, id string) (laceadmin.ActionResult, error) {
		return c.Drain(ctx, laceadmin.Order{
			ID: id,
		})
	})
}
