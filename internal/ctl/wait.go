package ctl

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// waitRound is the longest duration of one round. A wait consists of rounds,
	// each of which makes one router query all. A router that stops during a round
	// delays the wait by no more than that.
	waitRound = 2 * time.Second
	// roundMargin is how long before the end of the whole wait its last round
	// ends, so that the response still arrives in time.
	roundMargin = 700 * time.Millisecond
	// waitPause is the pause between rounds.
	waitPause = 200 * time.Millisecond
	// routerTimeout bounds the call to one router before the next one is tried.
	routerTimeout = 5 * time.Second
)

// inForceStatus states at how many routers a change is in force.
type inForceStatus struct {
	Everywhere bool               `json:"everywhere"`
	Routers    int                `json:"routers"`
	Seconds    float64            `json:"seconds"` // duration of the wait
	Pending    []admin.RouterWait `json:"pending,omitempty"`
}

func (f inForceStatus) table(w io.Writer) {
	fmt.Fprintf(w, "\nin force at %d of %d routers after %.1f s\n", f.Routers-len(f.Pending), f.Routers, f.Seconds)
	for _, p := range f.Pending {
		fmt.Fprintf(w, "pending: %s\n", describePending(p))
	}
}

// describePending returns the reason why a router is pending.
func describePending(p admin.RouterWait) string {
	if p.Error != "" {
		return fmt.Sprintf("%s did not answer: %s", p.VM, p.Error)
	}
	var parts []string
	for _, ref := range p.Rejected {
		parts = append(parts, fmt.Sprintf("%s rejected as invalid", ref))
	}
	for _, b := range p.Behind {
		if b.Kind == "" {
			parts = append(parts, fmt.Sprintf("the changes up to version %s, not %s", b.InForce.Version, b.Version))
			continue
		}
		part := fmt.Sprintf("%s at version %s, not %s", b.Ref, b.InForce.Version, b.Version)
		if b.InForce.Problem != "" {
			part += ", because it is invalid there: " + b.InForce.Problem
		}
		parts = append(parts, part)
	}
	return p.VM + " has " + strings.Join(parts, "; ")
}

// awaitInForce waits until the applied objects are in force at every live
// router.
func (a *app) awaitInForce(ctx context.Context, timeout time.Duration, objects []objectResult) (*inForceStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := time.Now()
	var r inForceStatus
	target, err := a.newWaitTarget(ctx, objects)
	for err == nil {
		var round inForceStatus
		round, err = a.awaitRound(ctx, target)
		if err == nil || r.Routers == 0 {
			// A round that is cut off by the timeout has less information than the
			// one before.
			r = round
		}
		r.Seconds = time.Since(start).Seconds()
		if r.Everywhere || !sleep(ctx, waitPause) {
			break
		}
		if err != nil {
			a.notef("waiting: %s", err)
			err = nil
		}
	}
	if r.Everywhere {
		return &r, nil
	}
	reason := "see who is pending"
	if err != nil {
		reason = err.Error()
	}
	return &r, newExitError(ExitNotInForce,
		"the change is accepted and stays; see 'parsleyctl status', and wait again by applying the same files with --wait",
		"the change is accepted but not known to be in force everywhere after %s: %s", timeout, reason)
}

// waitTarget holds the objects to wait for.
type waitTarget struct {
	request admin.WaitRequest
	refs    []topo.Ref // all objects, also if request names only a version
}

// newWaitTarget returns the objects to wait for, each with its committed version.
// An object that was changed again before that version was read gets its current
// version. More than listThreshold objects are replaced by the newest of their
// versions, because the list is sent to each router.
func (a *app) newWaitTarget(ctx context.Context, objects []objectResult) (waitTarget, error) {
	var w waitTarget
	newest := topo.Version(0)
	for _, o := range objects {
		version := o.Version
		if version == 0 && o.State != stateUnchanged {
			current, err := a.editor.Read(ctx, o.Ref)
			if err != nil {
				return w, err
			}
			version = current.Version
		}
		newest = max(newest, version)
		w.refs = append(w.refs, o.Ref)
		w.request.Objects = append(w.request.Objects, admin.ObjectVersion{Ref: o.Ref, Version: version})
	}
	if len(objects) > listThreshold {
		w.request = admin.WaitRequest{Complete: newest}
	}
	return w, nil
}

// pending returns the routers at which not all objects are in force. Of the
// objects that a router rejects, only those in w.refs count.
func (w waitTarget) pending(f admin.FleetWait) []admin.RouterWait {
	var out []admin.RouterWait
	for _, r := range f.Routers {
		r.Rejected = slices.DeleteFunc(r.Rejected, func(ref topo.Ref) bool { return !slices.Contains(w.refs, ref) })
		if r.Pending() || len(r.Rejected) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// awaitRound queries all routers through one of them. A router that is only in
// the list of VMs read here is pending too: lists of VMs are updated with a
// delay, so they can differ.
func (a *app) awaitRound(ctx context.Context, w waitTarget) (inForceStatus, error) {
	listed, err := a.routers(ctx)
	if err != nil {
		return inForceStatus{}, err
	}
	req := w.request
	req.WaitMillis = int(roundTime(ctx).Milliseconds())
	wait, err := queryAny(ctx, a, listed, func(ctx context.Context, c *admin.Client) (admin.FleetWait, error) {
		return c.FleetWait(ctx, req)
	})
	if err != nil {
		return inForceStatus{Routers: len(listed), Pending: unqueried(listed, nil)}, err
	}
	pending := append(w.pending(wait), unqueried(listed, wait.Routers)...)
	total := len(wait.Routers) + len(unqueried(listed, wait.Routers))
	return inForceStatus{Everywhere: len(pending) == 0, Routers: total, Pending: pending}, nil
}

// roundTime returns the duration of the next round: waitRound, or less, so that
// the round ends roundMargin before ctx does.
func roundTime(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return waitRound
	}
	return max(0, min(waitRound, time.Until(deadline)-roundMargin))
}

// unqueried returns the listed routers that are not in queried.
func unqueried(listed []topo.VM, queried []admin.RouterWait) []admin.RouterWait {
	known := make(map[string]bool, len(queried))
	for _, r := range queried {
		known[r.VM] = true
	}
	var out []admin.RouterWait
	for _, vm := range listed {
		if vm.ID != "" && !known[vm.ID] {
			out = append(out, admin.RouterWait{WaitReply: admin.WaitReply{VM: vm.ID}, Error: "was not asked"})
		}
	}
	return out
}

// routers returns the routers that can be called: the one named by --router,
// whose VM is not known and has an empty id, or those of the platform's list in
// random order, to spread the load of commands over them.
func (a *app) routers(ctx context.Context) ([]topo.VM, error) {
	if a.options.Router != "" {
		return []topo.VM{{AdminAddr: a.options.Router}}, nil
	}
	if a.http == nil {
		return nil, newExitError(ExitUsage, "set --platform or --router", "it is not known where the routers are")
	}
	vms, _, err := a.http.VMs(ctx, "")
	if err != nil {
		return nil, err
	}
	var routers []topo.VM
	for _, vm := range vms.Entries {
		if vm.Role == topo.RoleRouter {
			routers = append(routers, vm)
		}
	}
	rand.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers, nil
}

// queryAny queries one router after the other until one responds.
func queryAny[T any](ctx context.Context, a *app, routers []topo.VM, query func(context.Context, *admin.Client) (T, error)) (T, error) {
	var zero T
	lastErr := newExitError(ExitFailed, "see that the list of VMs shows routers with admin_addr, or name one with --router", "no router can be asked")
	for _, vm := range routers {
		if vm.AdminAddr == "" || ctx.Err() != nil {
			continue
		}
		client := admin.NewClient(vm.AdminAddr, a.token)
		timeoutCtx, cancel := context.WithTimeout(ctx, routerTimeout)
		response, err := query(timeoutCtx, client)
		cancel()
		client.CloseIdle()
		if err == nil {
			return response, nil
		}
		lastErr = err
	}
	return zero, lastErr
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
