package ctl

import (
	"context"
	"fmt"
	"io"

	"github.com/parsleyfront/parsleyfront/internal/admin"
)

// explanation is where a request would go and why.
type explanation struct {
	admin.Explanation
}

func (e explanation) table(w io.Writer) {
	fmt.Fprintf(w, "profile\t%s\npool\t%s\nmean load\t%.2f\nload multiple\t%g\nticket\t%s\nseen by\t%s\n\n",
		e.Profile, e.Pool, e.Mean, e.Multiple, e.TicketNote, e.VM)
	fmt.Fprintln(w, "ORDER\tUPSTREAM\tDOMAIN\tSTATE\tLOAD\tBOUND\tWHY")
	for i, c := range e.Candidates {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%s\t%s\n", i+1, c.VM, c.FailureDomain, c.State, c.Load, formatOrDash(int64(c.Bound)), c.Reason)
	}
}

func (a *app) explain(ctx context.Context) error {
	o := a.options.Explain
	if (o.Model == "") == (o.Service == "") {
		return newExitError(ExitUsage, "", "write --model for a chat or --service for a plain service")
	}
	routers, err := a.routers(ctx)
	if err != nil {
		return err
	}
	q := admin.Query{
		Organisation: o.Organisation, Profile: o.Profile, Model: o.Model, Service: o.Service,
		Method: o.Method, Path: o.Path, Session: o.Session, Ticket: o.Ticket,
	}
	e, err := queryAny(ctx, a, routers, func(ctx context.Context, c *admin.Client) (admin.Explanation, error) {
		return c.Explain(ctx, q)
	})
	if err != nil {
		return err
	}
	return a.print(explanation{e})
}
