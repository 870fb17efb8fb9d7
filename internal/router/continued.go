package router

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

var continuedStreams = telemetry.NewFamily[continuation]("router_continued_streams_total", "outcome",
	"Streams that broke off after their first event, by whether this router has continued them at another upstream of their version.")

// continuation is what became of a stream that broke off.
type continuation string

const (
	continued    continuation = "continued"
	notContinued continuation = "no-upstream"
)

// origin is where a stream began. What two versions of an upstream's software write doesn't fit together,
// so a stream goes on only at the version that made its first event.
type origin struct {
	known   bool    // the first event has been passed on
	doubted bool    // the upstream that made it may have started again, with a version that is not known
	version string  // of the software of the upstream that made it
	vm      topo.VM // that upstream; the zero VM if another router has passed the event on
}

// isUncertain reports whether it is not known which version made the first event: the upstream may have started again
// before it made the event, which the list could not show, or its entry shows another version by now.
func (o origin) isUncertain(view *View) bool {
	if o.doubted {
		return true
	}
	if o.vm.ID == "" {
		return false
	}
	for _, vm := range view.VMs {
		if vm.Pool == o.vm.Pool && vm.Name() == o.vm.Name() && vm.SoftwareVersion != o.version {
			return true
		}
	}
	return false
}

// isVersionInDoubt reports whether an upstream may have started again with another version than that in
// the list.
func (resp *Response) isVersionInDoubt(now time.Time, vm topo.VM) bool {
	if resp.router.doubt(now, vm) == isDoubted {
		return true
	}
	return resp.hasSeveralVersions() && resp.router.suspects.MayHaveRestarted(now, vm.ID)
}

// withoutDoubtful returns the targets at which a stream may go on. Upstreams that may have started again without the
// list showing it, and can be asked, come last: they are asked before anything is sent.
func (resp *Response) withoutDoubtful(now time.Time, targets []target) []target {
	var sure, asked []target
	for _, t := range targets {
		switch {
		case t.vm.StartedAt != 0 && resp.router.doubt(now, t.vm) != noDoubt:
			asked = append(asked, t)
		case !resp.isVersionInDoubt(now, t.vm):
			sure = append(sure, t)
		}
	}
	return append(sure, asked...)
}

// hasSeveralVersions reports whether upstreams of the request's pool have different versions.
func (resp *Response) hasSeveralVersions() bool {
	pool := resp.router.View().Pools[resp.poolName]
	return pool != nil && pool.severalVersions()
}

// stream returns the stream that the request begins or continues.
func (r *Request) stream() origins.Stream {
	org := ""
	if r.Org != nil {
		org = r.Org.Name
	}
	if r.Resumes != "" {
		return origins.StreamOf(org, r.Resumes)
	}
	return origins.StreamOf(org, r.ID)
}

const (
	// originSlack is how much longer than its caller waits the record of a stream is kept, and
	// defaultOriginTTL how long where that is not known.
	originSlack      = 20 * time.Second
	defaultOriginTTL = time.Minute
)

// recordOrigin records the upstream that has made events which are passed on, if they are the first of this
// response, and tells other routers.
func (resp *Response) recordOrigin(vm topo.VM) {
	if !resp.origin.known {
		resp.origin = origin{known: true, doubted: resp.router.doubt(time.Now(), vm) == isDoubted, version: vm.SoftwareVersion, vm: vm}
	}
	switch {
	case resp.originTold:
		return
	case resp.origin.doubted:
		resp.tellOrigin(origins.Ambiguous)
	default:
		resp.tellOrigin(origins.VersionOf(resp.poolName, resp.origin.version))
	}
	resp.originTold = true
}

// tellOrigin records at which version the stream began, for its caller's later attempts.
func (resp *Response) tellOrigin(v origins.Version) {
	now, ttl := time.Now(), defaultOriginTTL
	if !resp.plan.Deadline.IsZero() {
		ttl = max(resp.plan.Deadline.Sub(now), 0) + originSlack
	}
	resp.router.origins.Tell(now, origins.Record{Stream: resp.req.stream(), Version: v, TTL: ttl})
}

// countContinued counts a stream that broke off after its first event, by whether there is an upstream that
// may continue it.
func (resp *Response) countContinued(found bool) {
	switch {
	case !resp.origin.known:
	case found:
		continuedStreams.Inc(continued)
	default:
		continuedStreams.Inc(notContinued)
	}
}
