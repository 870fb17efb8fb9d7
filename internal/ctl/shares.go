package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/parsleyfront/parsleyfront/internal/admin"
)

// shareList is how all routers together share pools among organisations.
type shareList struct {
	Routers int               `json:"routers"` // that have answered
	Failed  map[string]string `json:"failed"`  // errors by address
	Pools   []*poolShares     `json:"pools"`
}

// poolShares is how all routers together share a pool.
type poolShares struct {
	Pool          string                `json:"pool"`
	Routers       []string              `json:"routers"`  // addresses, in the order of the arguments
	ShortAt       []string              `json:"short_at"` // addresses of the routers that see the pool as short
	Capacity      float64               `json:"capacity"` // of the first router with complete totals, else of the first
	Used          float64               `json:"used"`     // of the same router
	Complete      bool                  `json:"complete"` // that router's totals are complete
	Organisations []*organisationShares `json:"organisations"`
}

// organisationShares is what routers admit of an organisation's requests to a pool.
type organisationShares struct {
	// Organisation is the name, or a hash if no router knows it. Empty: those that are not listed.
	Organisation string `json:"organisation"`
	Priority     int    `json:"priority"`
	admission
	Classes []*classShares `json:"classes"`
}

// classShares is what routers admit of a class of an organisation's requests.
type classShares struct {
	Rank      int  `json:"rank"`
	Returning bool `json:"returning"`
	admission
}

// admission is what routers admit of requests.
type admission struct {
	Offered     float64 `json:"offered"`      // work per second at all routers, as told by the router that hears of most
	Refused     int64   `json:"refused"`      // since the start of each router, sum over routers
	MinFraction float64 `json:"fraction_min"` // smallest fraction that a router admits of a class
	MaxFraction float64 `json:"fraction_max"` // largest
}

// shares lists how the routers at the given addresses share pools among organisations.
func (a *app) shares(ctx context.Context) error {
	list := shareList{Failed: make(map[string]string), Pools: []*poolShares{}}
	addrs := a.options.Shares.Args.Addrs
	answers := make([]admin.Shares, len(addrs))
	for i, addr := range addrs {
		if err := readJSON(ctx, addr, admin.PathShares, &answers[i]); err != nil {
			list.Failed[addr] = err.Error()
			answers[i] = admin.Shares{} // without what was decoded before the error
		}
	}
	names := organisationNames(answers)
	for i, addr := range addrs {
		for _, p := range answers[i].Pools {
			list.add(addr, p, names)
		}
	}
	list.Routers = len(addrs) - len(list.Failed)
	list.sort()
	if err := a.print(list); err != nil {
		return err
	}
	return checkAnswers(list.Failed, addrs, "the sums are without these routers")
}

// organisationNames returns the names of organisations that some router knows, by their hashes.
func organisationNames(answers []admin.Shares) map[uint32]string {
	names := make(map[uint32]string)
	for _, answer := range answers {
		for _, p := range answer.Pools {
			for _, c := range p.Classes {
				if _, isHash := admin.HashOfLabel(c.Organisation); !isHash && c.Organisation != "" {
					names[admin.OrganisationHash(c.Organisation)] = c.Organisation
				}
			}
		}
	}
	return names
}

// add adds how the router at an address shares a pool.
func (l *shareList) add(addr string, p admin.PoolShares, names map[uint32]string) {
	i := slices.IndexFunc(l.Pools, func(sum *poolShares) bool { return sum.Pool == p.Pool })
	if i < 0 {
		i = len(l.Pools)
		l.Pools = append(l.Pools, &poolShares{
			Pool: p.Pool, ShortAt: []string{}, Capacity: p.Capacity, Used: p.Used, Complete: p.Complete, Organisations: []*organisationShares{},
		})
	}
	sum := l.Pools[i]
	sum.Routers = append(sum.Routers, addr)
	if p.Short {
		sum.ShortAt = append(sum.ShortAt, addr)
	}
	if p.Complete && !sum.Complete {
		sum.Capacity, sum.Used, sum.Complete = p.Capacity, p.Used, true
	}
	for _, c := range p.Classes {
		if hash, isHash := admin.HashOfLabel(c.Organisation); isHash {
			c.Organisation = cmp.Or(names[hash], c.Organisation)
		}
		sum.add(c)
	}
}

// add adds what one router admits of a class.
func (p *poolShares) add(c admin.ClassShares) {
	i := slices.IndexFunc(p.Organisations, func(o *organisationShares) bool {
		return o.Organisation == c.Organisation && o.Priority == c.Priority
	})
	if i < 0 {
		i = len(p.Organisations)
		p.Organisations = append(p.Organisations, &organisationShares{Organisation: c.Organisation, Priority: c.Priority})
	}
	o := p.Organisations[i]
	j := slices.IndexFunc(o.Classes, func(x *classShares) bool { return x.Rank == c.Rank && x.Returning == c.Returning })
	if j < 0 {
		o.Classes = append(o.Classes, &classShares{Rank: c.Rank, Returning: c.Returning, admission: newAdmission(c)})
		return
	}
	o.Classes[j].admission.add(c)
}

func newAdmission(c admin.ClassShares) admission {
	return admission{Offered: c.Offered, Refused: c.Refused, MinFraction: c.Fraction, MaxFraction: c.Fraction}
}

// sum sets what is admitted of the organisation to that of its classes together.
func (o *organisationShares) sum() {
	o.admission = o.Classes[0].admission
	for _, c := range o.Classes[1:] {
		o.Offered += c.Offered
		o.Refused += c.Refused
		o.MinFraction = min(o.MinFraction, c.MinFraction)
		o.MaxFraction = max(o.MaxFraction, c.MaxFraction)
	}
}

// add adds what another router admits of the same class. Each router tells what all that it hears
// of are offered, so that the largest figure is the most complete one.
func (a *admission) add(c admin.ClassShares) {
	a.Offered = max(a.Offered, c.Offered)
	a.Refused += c.Refused
	a.MinFraction = min(a.MinFraction, c.Fraction)
	a.MaxFraction = max(a.MaxFraction, c.Fraction)
}

// sort sorts the pools by name, the organisations of each by how many of their requests were
// refused, and their classes by the order in which they are admitted.
func (l *shareList) sort() {
	slices.SortFunc(l.Pools, func(x, y *poolShares) int { return cmp.Compare(x.Pool, y.Pool) })
	for _, p := range l.Pools {
		for _, o := range p.Organisations {
			o.sum()
		}
		slices.SortFunc(p.Organisations, func(x, y *organisationShares) int {
			return cmp.Or(cmp.Compare(y.Refused, x.Refused), cmp.Compare(y.Offered, x.Offered),
				cmp.Compare(x.Organisation, y.Organisation), cmp.Compare(x.Priority, y.Priority))
		})
		for _, o := range p.Organisations {
			slices.SortFunc(o.Classes, func(x, y *classShares) int {
				return cmp.Or(cmp.Compare(x.Rank, y.Rank), compareReturning(x, y))
			})
		}
	}
}

// compareReturning orders returning callers before others.
func compareReturning(x, y *classShares) int {
	switch {
	case x.Returning == y.Returning:
		return 0
	case x.Returning:
		return -1
	default:
		return 1
	}
}

// unlistedOrganisations stands for the organisations that routers do not name.
const unlistedOrganisations = "(others)"

func (l shareList) table(w io.Writer) {
	fmt.Fprintln(w, "POOL\tSHORT AT\tCAPACITY\tUSED\tTOTALS")
	for _, p := range l.Pools {
		totals := "of a part of the routers"
		if p.Complete {
			totals = "complete"
		}
		fmt.Fprintf(w, "%s\t%d of %d\t%.1f\t%.1f\t%s\n", p.Pool, len(p.ShortAt), len(p.Routers), p.Capacity, p.Used, totals)
	}
	fmt.Fprintln(w, "\nPOOL\tORGANISATION\tPRIORITY\tRANK\tRETURNING\tOFFERED\tADMITTED\tREFUSED")
	for _, p := range l.Pools {
		for _, o := range p.Organisations {
			name := cmp.Or(o.Organisation, unlistedOrganisations)
			if len(o.Classes) > 1 {
				fmt.Fprintf(w, "%s\t%s\t%d\tall\t\t%s\n", p.Pool, name, o.Priority, o.admission)
			}
			for _, c := range o.Classes {
				fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%s\t%s\n", p.Pool, name, o.Priority, c.Rank, strconv.FormatBool(c.Returning), c.admission)
			}
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(l.Failed)) {
		fmt.Fprintf(w, "%s\tno answer: %s\n", addr, l.Failed[addr])
	}
}

// String returns the columns of the table.
func (a admission) String() string {
	fraction := fmt.Sprintf("%.2f", a.MinFraction)
	if highest := fmt.Sprintf("%.2f", a.MaxFraction); highest != fraction {
		fraction += " to " + highest
	}
	return fmt.Sprintf("%.1f\t%s\t%d", a.Offered, fraction, a.Refused)
}
