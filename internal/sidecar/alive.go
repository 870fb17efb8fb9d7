package sidecar

import "context"

// Alive returns nil when the control loop turns.
func (s *Sidecar) Alive(ctx context.Context) error {
	return s.loop.Probe(ctx)
}
