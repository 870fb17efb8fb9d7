package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// fleetStatus is the state of the fleet.
type fleetStatus struct {
	Version     topo.Version         `json:"version"` // newest configuration in force at any router
	Routers     []admin.RouterStatus `json:"routers"`
	Pools       []poolSummary        `json:"pools"`
	Quarantined []admin.Quarantined  `json:"quarantined"`
	Upstreams   *admin.Status        `json:"seen_by,omitempty"` // state of the router whose upstreams are shown; set with --upstreams
}

// poolSummary is a pool as one of the routers sees it. Each router has only a
// partial view, so the view with the highest skew of the pool is shown.
type poolSummary struct {
	admin.PoolStatus
	SeenBy string `json:"seen_by"` // router whose view is shown
}

func (a *app) status(ctx context.Context) error {
	routers, err := a.routers(ctx)
	if err != nil {
		return err
	}
	fleet, err := queryAny(ctx, a, routers, func(ctx context.Context, c *admin.Client) (admin.FleetStatus, error) {
		return c.Fleet(ctx)
	})
	if err != nil {
		return err
	}
	fleet.Routers = append(fleet.Routers, unqueriedStatuses(routers, fleet)...)
	s := summarize(fleet)
	if a.options.Status.Upstreams {
		own, err := queryAny(ctx, a, routers, func(ctx context.Context, c *admin.Client) (admin.Status, error) {
			return c.Status(ctx)
		})
		if err != nil {
			return err
		}
		s.Upstreams = &own
	}
	return a.print(s)
}

// unqueriedStatuses returns a status with an error for each listed router that
// is missing in f. Lists of VMs are updated with a delay, so they can differ.
func unqueriedStatuses(listed []topo.VM, f admin.FleetStatus) []admin.RouterStatus {
	var out []admin.RouterStatus
	for _, vm := range listed {
		known := func(r admin.RouterStatus) bool { return r.VM == vm.ID }
		if vm.ID != "" && !slices.ContainsFunc(f.Routers, known) {
			out = append(out, admin.RouterStatus{VM: vm.ID, Error: "not asked, because " + f.VM + " does not know of it yet"})
		}
	}
	return out
}

func summarize(f admin.FleetStatus) fleetStatus {
	s := fleetStatus{Routers: f.Routers, Pools: []poolSummary{}, Quarantined: []admin.Quarantined{}}
	slices.SortFunc(s.Routers, func(x, y admin.RouterStatus) int { return cmp.Compare(x.VM, y.VM) })
	for _, r := range s.Routers {
		if r.Status == nil {
			continue
		}
		s.Version = max(s.Version, r.Status.Config.Version)
		s.mergePools(r)
		for _, q := range r.Status.Quarantined {
			same := func(other admin.Quarantined) bool { return other.Fingerprint == q.Fingerprint }
			if !slices.ContainsFunc(s.Quarantined, same) {
				s.Quarantined = append(s.Quarantined, q)
			}
		}
	}
	slices.SortFunc(s.Pools, func(x, y poolSummary) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Quarantined, func(x, y admin.Quarantined) int { return cmp.Compare(x.Fingerprint, y.Fingerprint) })
	return s
}

// mergePools merges the pools of a router into s. For each pool the view with
// the highest skew is kept.
func (s *fleetStatus) mergePools(r admin.RouterStatus) {
	for _, p := range r.Status.Pools {
		i := slices.IndexFunc(s.Pools, func(l poolSummary) bool { return l.Name == p.Name })
		summary := poolSummary{PoolStatus: p, SeenBy: r.VM}
		switch {
		case i < 0:
			s.Pools = append(s.Pools, summary)
		case p.Skew > s.Pools[i].Skew:
			s.Pools[i] = summary
		}
	}
}

func (s fleetStatus) table(w io.Writer) {
	fmt.Fprintln(w, "ROUTER\tDOMAIN\tSTATE\tCONFIG\tSTORE HEARD\tCONTROL B/S")
	for _, r := range s.Routers {
		if r.Status == nil {
			fmt.Fprintf(w, "%s\t\tno answer: %s\n", r.VM, r.Error)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.0f\n", r.VM, r.Status.FailureDomain, routerState(*r.Status),
			s.versionOf(*r.Status), formatAge(r.Status.Config.LastStoreResponse), controlRate(*r.Status))
	}
	fmt.Fprintln(w, "\nPOOL\tUPSTREAMS\tSERVING\tDRAINING\tDOWN\tMEAN LOAD\tMAX LOAD\tSKEW\tBUSIEST\tSEEN BY")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.2f\t%d\t%.2f\t%s\t%s\n", p.Name, p.Known, p.Serving, p.Draining, p.Down, p.Mean, p.Max, p.Skew, p.Busiest, p.SeenBy)
	}
	s.tableDetails(w)
}

// tableDetails prints problems, which a healthy fleet does not have, and the
// upstreams.
func (s fleetStatus) tableDetails(w io.Writer) {
	for _, r := range s.Routers {
		if r.Status == nil {
			continue
		}
		for _, p := range r.Status.Config.Rejected {
			fmt.Fprintf(w, "\nrejected by %s: %s\n", r.VM, p)
		}
		for _, u := range r.Status.UnknownWords {
			fmt.Fprintf(w, "\nnot read by %s: %s, %s (%d times, first in %s)\n", r.VM, u.Place, u.Word, u.Count, u.Source)
		}
	}
	if len(s.Quarantined) > 0 {
		fmt.Fprintln(w, "\nQUARANTINED REQUEST\tPART\tSTATE\tCRASHES\tUNTIL")
	}
	for _, q := range s.Quarantined {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", q.Fingerprint, q.Part, q.State, q.Crashes, q.Until.Format(time.RFC3339))
	}
	if s.Upstreams == nil {
		return
	}
	fmt.Fprintf(w, "\nUPSTREAM\tPOOL\tDOMAIN\tSTATE\tLOAD\t(as seen by %s)\n", s.Upstreams.VM)
	for _, p := range s.Upstreams.Pools {
		for _, u := range p.Upstreams {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\n", u.VM, p.Name, u.FailureDomain, u.State, u.Load)
		}
	}
}

// versionOf returns a router's version of the configuration, marked if another
// router has a newer one.
func (s fleetStatus) versionOf(r admin.Status) string {
	if r.Config.Version < s.Version {
		return fmt.Sprintf("%s (behind)", r.Config.Version)
	}
	return fmt.Sprint(r.Config.Version)
}

func routerState(s admin.Status) string {
	switch {
	case s.Draining:
		return "draining"
	case !s.Ready:
		return "not ready"
	default:
		return "serving"
	}
}

func controlRate(s admin.Status) float64 {
	sum := 0.0
	for _, c := range s.Control {
		sum += c.BytesPerSecond
	}
	return sum
}

func formatAge(t time.Time) string {
	if t.IsZero() {
		return "never"
	}
	return time.Since(t).Round(time.Second).String() + " ago"
}
