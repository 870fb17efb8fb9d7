package fleetmodel

import (
	"time"
)

// settle is how long a fleet plays after a start of all before its messages are counted.
const settle = 15 * time.Second

// Play plays the fleet of each size.
func Play(c Config) []Result {
	var out []Result
	for _, size := range c.Sizes {
		out = append(out, play(c, size))
	}
	return out
}

func play(c Config, size int) Result {
	f := newFleet(c, size)
	out := Result{Routers: size, Upstreams: f.upstreams()}
	f.startAll()
	f.run(c.StartSpread, nil)
	out.StartToCurrent = f.run(settle, f.isCurrent)
	f.run(c.Bound, nil)
	out.StartCalls = float64(f.storeCalls) / float64(size)
	out.StartBytes, out.StartListings = f.storeBytes, len(f.listings)
	out.Announcements = float64(f.announcements) / float64(size)
	f.run(settle, nil)

	f.countSteady(c.Steady, &out)

	f.version++
	out.ChangeToAll = f.run(c.Bound, f.isCurrent)
	f.run(c.Bound, nil)
	f.loseReader(&out)
	return out
}

// countSteady counts messages and calls of a phase without changes.
func (f *fleet) countSteady(d time.Duration, out *Result) {
	subscribers := make(map[string]int)
	for _, r := range f.routers {
		subscribers[r.parent.Name]++
	}
	calls := f.storeCalls
	for _, r := range f.routers {
		r.subscribers, r.sent, r.got = subscribers[r.node.Name], traffic{}, traffic{}
	}
	f.run(d, nil)
	seconds := d.Seconds()
	out.SteadyCalls = float64(f.storeCalls-calls) / seconds
	for _, r := range f.routers {
		l := &out.Steady[r.role()]
		l.Routers++
		l.Subscribers += float64(r.subscribers)
		l.MessagesSent += float64(r.sent.messages) / seconds
		l.BytesSent += float64(r.sent.bytes) / seconds
		l.MessagesReceived += float64(r.got.messages) / seconds
		l.BytesReceived += float64(r.got.bytes) / seconds
	}
	for i := range out.Steady {
		out.Steady[i] = out.Steady[i].mean()
	}
}

func (r *router) role() Role {
	switch {
	case r.state.Reading():
		return Reader
	case r.subscribers > 0:
		return Head
	}
	return Leaf
}

// mean returns the sums of a role divided by its routers.
func (l Load) mean() Load {
	n := float64(max(l.Routers, 1))
	return Load{
		Routers: l.Routers, Subscribers: l.Subscribers / n, MessagesSent: l.MessagesSent / n, BytesSent: l.BytesSent / n,
		MessagesReceived: l.MessagesReceived / n, BytesReceived: l.BytesReceived / n,
	}
}

// loseReader loses the routers that read the store, and changes the store at that moment.
func (f *fleet) loseReader(out *Result) {
	clear(f.listings)
	for _, r := range f.routers {
		r.isLost = r.state.Reading()
	}
	f.version++
	out.LossToAll = f.run(2*f.config.Bound, f.isCurrent)
	f.run(f.config.Bound, nil)
	out.LossListings = len(f.listings)
}
