package sidecar

import "context"

// Alive returns nil when the control loop turns.
func (s *Sidecar) Alive(ctx context.Context) error {
	return s.loop.Probe(ctx)
}

// Ready reports whether new work is taken: the upstream answers and is not leaving.
func (s *Sidecar) Ready() bool {
	return !s.unavailable.Load()
}
