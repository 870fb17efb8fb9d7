package ctl

import (
	"context"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// order returns the drain order that the command names.
func (c drainCommand) order() (profile.Object, error) {
	switch {
	case c.Domain != "" && c.Args.VM != "":
		return nil, newExitError(ExitUsage, "name one of the two", "both a VM and a failure domain are named")
	case c.Domain != "":
		return &profile.DomainDrain{Name: c.Domain, Reason: c.Reason}, nil
	case c.Args.VM != "":
		return &profile.Drain{Name: c.Args.VM, Reason: c.Reason}, nil
	}
	return nil, newExitError(ExitUsage, "name a VM, or a failure domain with --failure-domain", "nothing is named")
}

// matches reports whether the command applies to a VM of the platform's list.
func (c drainCommand) matches(vm topo.VM) bool {
	if c.Domain != "" {
		return vm.FailureDomain == c.Domain
	}
	return vm.ID == c.Args.VM
}

// drain stores an order by which a VM, or every upstream of a failure domain, is
// to take no new work.
func (a *app) drain(ctx context.Context) error {
	o := a.options.Drain
	order, err := o.order()
	if err != nil {
		return err
	}
	vms, _, err := a.http.VMs(ctx, "")
	if err != nil {
		return err
	}
	if !slices.ContainsFunc(vms.Entries, o.matches) {
		return newExitError(ExitNotFound, "see 'parsleyctl status --upstreams'; the list of VMs lags by some seconds", "the platform lists no VM for %s", order.Ref())
	}
	if problems := profile.Check(order); len(problems) > 0 {
		return problems
	}
	base, err := a.editor.Read(ctx, order.Ref())
	if err != nil {
		return err
	}
	spec, err := profile.Encode(order)
	if err != nil {
		return err
	}
	return a.applyEdits(ctx, o.changeOptions, []edit{{base: base, spec: spec, label: "as ordered"}})
}

// undrain withdraws a drain order.
func (a *app) undrain(ctx context.Context) error {
	o := a.options.Undrain
	order, err := o.order()
	if err != nil {
		return err
	}
	base, err := a.readExisting(ctx, order.Ref())
	if err != nil {
		return err
	}
	return a.applyEdits(ctx, o.changeOptions, []edit{{base: base}})
}
