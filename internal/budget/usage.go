package budget

import (
	"cmp"
	"slices"
)

// Usage is what a Memory holds at a moment.
type Usage struct {
	Limit, Held int64 // bytes; a limit of zero: unlimited
	Parties     []PartyUsage
}

// PartyUsage is what the claims of a party hold.
type PartyUsage struct {
	Party string // organisation; empty: not known
	Held  int64  // bytes
}

// Usage returns what the Memory holds, and for which parties, the largest first, at most maxParties of them.
func (m *Memory) Usage(maxParties int) Usage {
	m.mu.Lock()
	u := Usage{Limit: m.limit, Held: m.held}
	for party, held := range m.byParty {
		u.Parties = append(u.Parties, PartyUsage{Party: party, Held: held})
	}
	m.mu.Unlock()
	slices.SortFunc(u.Parties, func(x, y PartyUsage) int {
		return cmp.Or(cmp.Compare(y.Held, x.Held), cmp.Compare(x.Party, y.Party))
	})
	u.Parties = u.Parties[:min(len(u.Parties), maxParties)]
	return u
}
