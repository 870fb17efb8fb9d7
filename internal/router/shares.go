package router

// ShareMode sets of which pools organisations get shares while the pools are short.
type ShareMode uint8

const (
	// ShareAuto shares the pools whose engines report that their machine is slowed. It is the
	// zero value.
	ShareAuto ShareMode = iota
	// ShareAlways shares all pools.
	ShareAlways
	// ShareNever shares no pool.
	ShareNever
)
