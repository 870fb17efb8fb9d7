package router

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/placement"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// reportTimeout bounds a report of a crash, for which a caller has to wait.
	reportTimeout = 500 * time.Millisecond
	// resendTargetsPerRouter is the number of upstreams of which one is a router's
	// first choice for a resent request: with a session, the home upstream and the VM
	// of the ticket; without, two random upstreams, of which the less loaded is chosen.
	resendTargetsPerRouter = 2
)

var (
	quarantinedRequests = telemetry.NewCounter("router_quarantined_requests_total",
		"Requests answered at once because copies of them have crashed upstreams.", telemetry.Alert)
	malformedSuspects = telemetry.NewCounter("router_malformed_suspects_total",
		"Messages about suspected requests, of sidecars or in the store, that could not be decoded.")
	crashReports = telemetry.NewFamily[reportOutcome]("router_crash_reports_total", "outcome",
		"Reports of crashes to the sidecars that a resend would go to, by what came of them.", telemetry.Alert)
)

// reportOutcome is the outcome of reporting a crash to a sidecar.
type reportOutcome string

const (
	reportDelivered reportOutcome = "taken"
	reportLost      reportOutcome = "lost"
)

// mergeSuspects adds the suspects that a sidecar sent, or those of a conviction in the store. Data that
// can't be decoded comes from a peer of another release and is only counted: the suspects are hints.
func (r *Router) mergeSuspects(now time.Time, data json.RawMessage) {
	if err := r.suspects.Merge(now, data); err != nil {
		malformedSuspects.Inc()
	}
}

// applyQuarantine returns an error for a convicted request. A suspect may only run
// alone, at the site of the crash: all routers that know of the suspicion know this
// VM, so its sidecar gets all copies of the request and runs them one by one.
// applyQuarantine makes it the first candidate (reassign sends later attempts there
// as well), or permits the suspect to run alone elsewhere if the VM has left the list.
func (resp *Response) applyQuarantine(now time.Time) *verdict.Error {
	ruling, _ := resp.router.suspects.Decide(now, resp.fingerprint)
	switch ruling.Action {
	case quarantine.Refuse:
		quarantinedRequests.Inc()
		err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d upstreams crashed while they ran this request", ruling.Crashes)
		err.EarlierUnknown = resp.req.Key != nil
		return err
	case quarantine.Redirect:
		resp.suspect = true
		site, known := resp.view.VMs[ruling.VM]
		if known {
			resp.addCrashSite(site)
		} else {
			resp.grantPermit()
		}
	}
	return nil
}

// addCrashSite makes the site of the crash the first candidate. If the caller
// holds a key, the VM of the key, which decides on the key, stays first and the
// site becomes the only other candidate.
func (resp *Response) addCrashSite(site topo.VM) {
	if resp.req.Key == nil {
		resp.candidates = append([]topo.VM{site}, resp.candidates...)
		return
	}
	resp.candidates = append(resp.candidates[:1:1], site)
}

// grantPermit permits a suspect whose crash site has left the list to run alone
// at the VM that ranks first for its fingerprint, which is the same at all routers
// with the same list.
func (resp *Response) grantPermit() {
	if resp.pool == nil || resp.req.Key != nil {
		return
	}
	resp.hasPermit = true
	vms := resp.router.rankUpstreams(time.Now(), resp.pool, resp.fingerprint)
	resp.candidates = append(vms[:1:1], resp.candidates...)
}

// reassign returns the site of the crash if the request is a suspect and the site
// is listed, else vm.
func (resp *Response) reassign(vm topo.VM) topo.VM {
	ruling, _ := resp.router.suspects.Decide(time.Now(), resp.fingerprint)
	if ruling.Action != quarantine.Redirect {
		return vm
	}
	if site, ok := resp.view.VMs[ruling.VM]; ok {
		return site
	}
	return vm
}

// reportCrash reports a crash to the sidecars that a resent request would be
// offered to, before the caller gets its response and can send the request again.
// Otherwise a request that is resent at once through another router would crash
// the next upstream.
func (resp *Response) reportCrash(at *attempt, err *verdict.Error) {
	if err.Reason != verdict.ReasonUpstreamFailed || err.Verdict == verdict.NotRun {
		return
	}
	evidence := resp.router.suspects.Evidence(time.Now(), resp.fingerprint)
	if len(evidence) == 0 {
		return
	}
	if ruling, _ := resp.router.suspects.Decide(time.Now(), resp.fingerprint); ruling.Action == quarantine.Refuse {
		go resp.router.storeConviction(resp.fingerprint)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range resp.resendTargets() {
		if vm.ID == at.vm.ID {
			continue
		}
		wg.Go(func() {
			if resp.router.peer(vm).Call(ctx, wire.MethodReport, wire.Report{Suspects: evidence}, nil) == nil {
				crashReports.Inc(reportDelivered)
			} else {
				crashReports.Inc(reportLost)
			}
		})
	}
	wg.Wait()
}

// returnPermit reports to the site of a crash that its permit to run the request
// alone elsewhere will not be used, because no sidecar has admitted the request.
func (resp *Response) returnPermit(at *attempt) {
	if !at.hasPermit || at.crashSite.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	unused := wire.Permit{Fingerprint: resp.fingerprint, Nonce: at.permitNonce}
	_ = resp.router.peer(at.crashSite).Call(ctx, wire.MethodReport, wire.Report{UnusedPermit: &unused}, nil)
}

// resendTargets returns the VMs that a resent request would be offered to first by
// this router, and by a router of each failure domain that knows no loads.
func (resp *Response) resendTargets() []topo.VM {
	seen := make(map[string]topo.VM)
	for _, vm := range resp.candidates[:min(resendTargetsPerRouter, len(resp.candidates))] {
		seen[vm.ID] = vm
	}
	if resp.pool != nil {
		resp.addDomainTargets(seen)
	}
	delete(seen, "") // the VM of a key that is not in the list
	return slices.Collect(maps.Values(seen))
}

// addDomainTargets adds the first choices of a router of each failure domain.
func (resp *Response) addDomainTargets(seen map[string]topo.VM) {
	members := resp.pool.members
	domains := make(map[string]bool)
	for _, vm := range resp.pool.VMs {
		domains[vm.FailureDomain] = true
	}
	q := placement.Query{Session: resp.session, Ticket: placement.None, Random: resp.candidateSeed()}
	for domain := range domains {
		p := placement.NewPool(members, placement.Locality{Domain: domain})
		var out [placement.MaxCandidates]int
		n := p.Choose(time.Now(), load.NewTable(), q, &out)
		for _, i := range out[:min(resendTargetsPerRouter, n)] {
			seen[resp.pool.VMs[i].ID] = resp.pool.VMs[i]
		}
	}
}
