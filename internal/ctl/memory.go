package ctl

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/parsleyfront/parsleyfront/internal/admin"
)

// memoryList is what routers hold for callers.
type memoryList struct {
	Routers map[string]admin.Memory `json:"routers"` // by address
	Failed  map[string]string       `json:"failed"`  // errors by address
}

// memory lists what the routers at the given addresses hold for callers.
func (a *app) memory(ctx context.Context) error {
	list := memoryList{Routers: make(map[string]admin.Memory), Failed: make(map[string]string)}
	addrs := a.options.Memory.Args.Addrs
	for _, addr := range addrs {
		var m admin.Memory
		if err := readJSON(ctx, addr, admin.PathMemory, &m); err != nil {
			list.Failed[addr] = err.Error()
			continue
		}
		list.Routers[addr] = m
	}
	if err := a.print(list); err != nil {
		return err
	}
	return checkAnswers(list.Failed, addrs, "the list is without these routers")
}

// unknownCallers stands for the callers whose organisation is not known.
const unknownCallers = "(not known)"

func (l memoryList) table(w io.Writer) {
	fmt.Fprintln(w, "ROUTER\tORGANISATION\tHELD KB\tOF ROUTER'S KB")
	for _, addr := range slices.Sorted(maps.Keys(l.Routers)) {
		m := l.Routers[addr]
		fmt.Fprintf(w, "%s\t(all)\t%d\t%s\n", addr, m.HeldBytes>>10, limitKB(m.LimitBytes))
		for _, p := range m.Parties {
			fmt.Fprintf(w, "%s\t%s\t%d\t\n", addr, cmp.Or(p.Organisation, unknownCallers), p.HeldBytes>>10)
		}
	}
	fmt.Fprintln(w, "\nROUTER\tCONNECTIONS\tOPEN\tOF")
	for _, addr := range slices.Sorted(maps.Keys(l.Routers)) {
		c := l.Routers[addr].Connections
		for _, phase := range slices.Sorted(maps.Keys(c.Open)) {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", addr, phase, c.Open[phase], c.Max)
		}
	}
	for _, addr := range slices.Sorted(maps.Keys(l.Failed)) {
		fmt.Fprintf(w, "%s\tno answer: %s\n", addr, l.Failed[addr])
	}
}

// limitKB returns a limit of bytes as it is shown in a table.
func limitKB(limit int64) string {
	if limit == 0 {
		return "unlimited"
	}
	return fmt.Sprint(limit >> 10)
}
