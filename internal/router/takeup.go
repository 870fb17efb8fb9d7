package router

import (
	"log/slog"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/origins"
	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var takenUpStreams = telemetry.NewFamily[takeUp]("router_taken_up_streams_total", "outcome",
	"Streams that callers asked this router to go on with, by how it knew where they began, or why it refused.")

// takeUp is how a router knows where a stream began that it is to go on with, or why it refuses to.
type takeUp string

const (
	takeUpKnown      takeUp = "known"
	takeUpAsked      takeUp = "asked"        // another router knew
	takeUpOneVersion takeUp = "one-version"  // no router knows the stream, or its caller does not name it, and one version has served it for long
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
		return resp.findOnlyOrigin(time.Now())
	}
	v, asked := resp.router.origins.Lookup(resp.caller, resp.req.stream())
	switch v {
	case origins.Unknown: // all routers that knew may be lost
		resp.router.originArchive.Want()
		return resp.findOnlyOrigin(time.Now())
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

// findOnlyOrigin is findOrigin for a stream that its caller does not name, or that no router knows. Which version serves now
// says nothing of the one that began the stream: upstreams may have been replaced since, and this router may have started
// since.
func (resp *Response) findOnlyOrigin(now time.Time) (pool, version string, how takeUp) {
	pools := resp.req.Profile.PoolNames()
	if len(pools) != 1 || !resp.router.listShowsAll(now) {
		return "", "", takeUpUnknown
	}
	version, ok := resp.router.versions.OnlyVersion(now, profile.HostName(resp.req.Host), pools[0], resp.req.originTTL())
	if !ok {
		return pools[0], "", takeUpUnknown
	}
	return pools[0], version, takeUpOneVersion
}

// originTTL returns for how long after its beginning a stream may be taken up.
func (r *Request) originTTL() time.Duration {
	longest := max(r.Profile.Deadline.Std(), r.CallerTimeout)
	if longest == 0 {
		return defaultOriginTTL
	}
	return longest + originSlack
}

// longestAway returns for how long after its beginning any stream of the profiles may be taken up.
func longestAway(profiles map[string]*profile.Profile) time.Duration {
	longest := time.Duration(0)
	for _, p := range profiles {
		longest = max(longest, (&Request{Profile: p}).originTTL())
	}
	return longest
}

// findVersion returns the pool and the version that v stands for, if the request may go to that pool and
// an upstream there has that version.
func (resp *Response) findVersion(v origins.Version) (pool, version string, ok bool) {
	for _, name := range resp.req.Profile.PoolNames() {
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
