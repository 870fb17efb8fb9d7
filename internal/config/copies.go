package config

import (
	"cmp"
	"slices"

	"github.com/zeebo/xxh3"
)

// maxCopyHolders is how many sidecars keep a copy of the configuration. Each change
// is sent to each of them, so copies at all 2,900 sidecars of a large fleet would
// take a third of the routers' budget for control traffic.
const maxCopyHolders = 64

// CopyHolders returns the sidecars that keep a copy of the configuration: the first
// maxCopyHolders by a hash of their names. Routers whose lists of VMs differ by a few
// VMs agree on nearly all of them, and a few copies more or less do no harm.
func CopyHolders(sidecars []Peer) []Peer {
	out := slices.Clone(sidecars)
	slices.SortFunc(out, func(x, y Peer) int {
		return cmp.Or(cmp.Compare(xxh3.HashString(string(x)), xxh3.HashString(string(y))), cmp.Compare(x, y))
	})
	return out[:min(len(out), maxCopyHolders)]
}
