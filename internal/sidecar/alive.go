package sidecar

import "context"

// Alive returns nil if the control loop processes events.
func (s *Sidecar) Alive(ctx context.Context) error {
	return s.loop.Probe(ctx)
}

// Ready reports whether new requests are admitted: the upstream is up and not
// draining.
func (s *Sidecar) Ready() bool {
	return !s.unavailable.Load()
}
