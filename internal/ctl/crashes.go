package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/admin"
)

// crashCase is a request, or a part of prompts, that crashes upstreams, and which routers know of it.
type crashCase struct {
	admin.Quarantined          // of the router that knows of most crashes; part and upstreams of all
	Routers           []string `json:"routers"` // addresses, in the order of the arguments
}

// crashList is what routers know of requests and of parts of prompts that crash upstreams.
type crashList struct {
	Routers int               `json:"routers"` // that have answered
	Failed  map[string]string `json:"failed"`  // errors by address
	Cases   []*crashCase      `json:"cases"`
}

// crashes lists the cases that the routers at the given addresses know of.
func (a *app) crashes(ctx context.Context) error {
	list := crashList{Failed: make(map[string]string), Cases: []*crashCase{}}
	addrs := a.options.Crashes.Args.Addrs
	for _, addr := range addrs {
		var cases []admin.Quarantined
		if err := readJSON(ctx, addr, admin.PathQuarantined, &cases); err != nil {
			list.Failed[addr] = err.Error()
			continue
		}
		list.Routers++
		for _, c := range cases {
			list.add(addr, c)
		}
	}
	slices.SortFunc(list.Cases, func(x, y *crashCase) int {
		return cmp.Or(cmp.Compare(y.Crashes, x.Crashes), cmp.Compare(x.Fingerprint, y.Fingerprint))
	})
	if err := a.print(list); err != nil {
		return err
	}
	return checkAnswers(list.Failed, addrs, "the list is without what these routers know")
}

// add adds what the router at an address knows of a case.
func (l *crashList) add(addr string, q admin.Quarantined) {
	i := slices.IndexFunc(l.Cases, func(c *crashCase) bool { return c.Fingerprint == q.Fingerprint })
	if i < 0 {
		l.Cases = append(l.Cases, &crashCase{Quarantined: q, Routers: []string{addr}})
		return
	}
	c := l.Cases[i]
	c.Routers = append(c.Routers, addr)
	name := cmp.Or(c.Part, q.Part)
	upstreams := append(slices.Clone(c.Upstreams), q.Upstreams...)
	slices.Sort(upstreams)
	if q.Crashes > c.Crashes {
		c.Quarantined = q
	}
	c.Part, c.Upstreams = name, slices.Compact(upstreams)
}

func (l crashList) table(w io.Writer) {
	fmt.Fprintln(w, "FINGERPRINT\tPART\tSTATE\tCRASHES\tUPSTREAMS\tROUTERS\tUNTIL")
	for _, c := range l.Cases {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d of %d\t%s\n", c.Fingerprint, c.Part, c.State, c.Crashes, strings.Join(c.Upstreams, " "), len(c.Routers), l.Routers, c.Until.Format(time.RFC3339))
	}
	for _, addr := range slices.Sorted(maps.Keys(l.Failed)) {
		fmt.Fprintf(w, "%s\tno answer: %s\n", addr, l.Failed[addr])
	}
}
