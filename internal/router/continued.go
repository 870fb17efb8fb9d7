package router

import (
	"log/slog"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
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
	version string  // of the software of the upstream that made it
	vm      topo.VM // that upstream; the zero VM if another router has passed the event on
}

// isUncertain reports whether the upstream that made the first event is listed with another version by
// now. It may have started again before it made the event, which its entry showed only later.
func (o origin) isUncertain(view *View) bool {
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
		resp.origin = origin{known: true, version: vm.SoftwareVersion, vm: vm}
	}
	if !resp.originTold {
		resp.originTold = true
		resp.tellOrigin(origins.VersionOf(resp.poolName, resp.origin.version))
	}
}

// tellOrigin records at which version the stream began, for its caller's later attempts.
func (resp *Response) tellOrigin(v origins.Version) {
	now, ttl := time.Now(), defaultOriginTTL
	if !resp.plan.Deadline.IsZero() {
		ttl = max(resp.plan.Deadline.Sub(now), 0) + originSlack
	}
	resp.router.origins.Tell(now, origins.Record{Stream: resp.req.stream(), Version: v, TTL: ttl})
}

var takenUpStreams = telemetry.NewFamily[takeUp]("router_taken_up_streams_total", "outcome",
	"Streams that callers asked this router to go on with, by how it knew where they began, or why it refused.")

// takeUp is how a router knows where a stream began that it is to go on with, or why it refuses to.
type takeUp string

const (
	takeUpKnown      takeUp = "known"
	takeUpAsked      takeUp = "asked"        // another router knew
	takeUpOneVersion takeUp = "one-version"  // the caller does not name its stream, and the pool has one version
	takeUpUnknown    takeUp = "unknown"      // refused: no router knew
	takeUpAmbiguous  takeUp = "ambiguous"    // refused: it can't be told which of two versions began it
	takeUpGone       takeUp = "version-gone" // refused: no upstream has the version any more
)

const (
	// unknownRetryAfter is after which time a caller may ask again for a stream that is not known: by
	// then a record that was on its way, or a lost answer, has come.
	unknownRetryAfter = 250 * time.Millisecond
	// versionGoneRetryAfter is after which time a caller may ask again for a stream whose version has no
	// upstream: one that has started again is back by then.
	versionGoneRetryAfter = 2 * time.Second
)

// isTakeUp reports whether the request asks for the rest of a stream.
func (r *Request) isTakeUp() bool {
	return r.Resumes != "" || r.LastEventID != "" && r.Profile.Resumable
}

// holdToOrigin limits a request that asks for the rest of a stream to the upstreams of the version that began
// it. It returns an error if that is not known, or if there are none.
func (resp *Response) holdToOrigin() *verdict.Error {
	if !resp.req.isTakeUp() {
		return nil
	}
	pool, version, how := resp.findOrigin()
	takenUpStreams.Inc(how)
	resp.log(telemetry.LineFailure, "stream is taken up", slog.String("resumes", resp.req.Resumes),
		slog.String("last_event", resp.req.LastEventID), slog.String("outcome", string(how)),
		slog.String("pool", pool), slog.String("version", version), slog.Int64("after_ms", time.Since(resp.started).Milliseconds()))
	switch how {
	case takeUpUnknown, takeUpAmbiguous:
		return verdict.New(verdict.NotRun, verdict.ReasonOriginUnknown, "it is not known at which version of the upstreams the stream began").WithRetryAfter(unknownRetryAfter)
	case takeUpGone:
		return verdict.New(verdict.NotRun, verdict.ReasonVersionGone, "no upstream has the version at which the stream began").WithRetryAfter(versionGoneRetryAfter)
	}
	resp.poolName = pool
	resp.origin = origin{known: true, version: version}
	resp.pool = resp.eligiblePool()
	return nil
}

// findOrigin returns the pool and the version at which the stream began that the request continues. It may
// wait for other routers.
func (resp *Response) findOrigin() (pool, version string, how takeUp) {
	if resp.req.Resumes == "" {
		version, ok := resp.view.Pools[resp.poolName].onlyVersion()
		if !ok {
			return resp.poolName, "", takeUpUnknown
		}
		return resp.poolName, version, takeUpOneVersion
	}
	v, asked := resp.router.origins.Lookup(resp.caller, resp.req.stream())
	switch v {
	case origins.Unknown:
		return "", "", takeUpUnknown
	case origins.Ambiguous:
		return "", "", takeUpAmbiguous
	}
	resp.view = resp.router.View()
	pool, version, ok := resp.findVersion(v)
	switch {
	case !ok:
		return "", "", takeUpGone
	case asked:
		return pool, version, takeUpAsked
	}
	return pool, version, takeUpKnown
}

// findVersion returns the pool and the version that v stands for, if the request may go to that pool and
// an upstream there has that version.
func (resp *Response) findVersion(v origins.Version) (pool, version string, ok bool) {
	for _, name := range resp.req.poolNames() {
		p := resp.view.Pools[name].inRegions(resp.req.regions())
		if p == nil {
			continue
		}
		for _, vm := range p.VMs {
			if origins.VersionOf(name, vm.SoftwareVersion) == v {
				return name, vm.SoftwareVersion, true
			}
		}
	}
	return "", "", false
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
