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
	// maxSuspectsBytes is how many bytes of suspects go with one message at most.
	maxSuspectsBytes = 256
	// reportTimeout bounds a report of a crash, which a caller waits for.
	reportTimeout = 500 * time.Millisecond
	// resendTargetsPerRouter is how many upstreams a resend through one router may meet
	// first: those two that it chooses the less loaded of, or the home and the
	// VM of the ticket.
	resendTargetsPerRouter = 2
)

var (
	quarantinedRequests = telemetry.NewCounter("router_quarantined_requests_total",
		"Requests answered at once because copies of them have crashed upstreams.", telemetry.Alert)
	crashReports = telemetry.NewFamily[reportOutcome]("router_crash_reports_total", "outcome",
		"Reports of crashes to the sidecars that a resend would go to, by what came of them.", telemetry.Alert)
)

// reportOutcome is what came of a report.
type reportOutcome string

const (
	reportDelivered reportOutcome = "taken"
	reportLost      reportOutcome = "lost"
)

// suspects is the router's Book.
type suspects struct {
	mu   sync.Mutex
	book *quarantine.Book
}

func newSuspects() *suspects {
	return &suspects{book: quarantine.New("", 0)}
}

// merge takes in what a sidecar told. What cannot be read is a hint of a peer
// of another version, without which all still holds.
func (s *suspects) merge(now time.Time, data json.RawMessage) {
	if len(data) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.book.Merge(now, data)
}

// decide decides on a request, and returns what the sidecar is to be told.
func (s *suspects) decide(now time.Time, fingerprint uint64) (quarantine.Ruling, json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := quarantine.Print(fingerprint)
	r := s.book.Decide(now, p, false)
	if r.Action == quarantine.Free {
		return r, s.book.Gossip(now, maxSuspectsBytes)
	}
	return r, s.book.About(now, p)
}

// evidence returns all that is known of a request.
func (s *suspects) evidence(now time.Time, fingerprint uint64) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.About(now, quarantine.Print(fingerprint))
}

func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expire(now)
}

// applyQuarantine makes a suspect's site the only candidate, and refuses a convict.
func (a *Answer) applyQuarantine(now time.Time) *verdict.Error {
	ruling, _ := a.router.suspects.decide(now, a.fingerprint)
	switch ruling.Action {
	case quarantine.Refuse:
		quarantinedRequests.Inc()
		err := verdict.New(verdict.NotRun, verdict.ReasonQuarantined, "%d upstreams crashed while they ran this request", ruling.Crashes)
		err.EarlierUnknown = a.req.Key != nil
		return err
	case quarantine.Elsewhere:
		a.suspect = true
		site, known := a.view.VMs[ruling.Site]
		if known {
			a.restrictToSite(site)
		} else {
			a.grantIsolation()
		}
	}
	return nil
}

// restrictToSite puts the site of the crash in the place of all candidates but the VM
// of the caller's key, which decides first.
func (a *Answer) restrictToSite(site topo.VM) {
	if a.req.Key == nil {
		a.candidates = append([]topo.VM{site}, a.candidates...)
		return
	}
	a.candidates = append(a.candidates[:1:1], site)
}

// grantIsolation gives leave to run alone in the place of a site that has left the list:
// at the VM that ranks first for the request itself, the same at all routers
// with the same list.
func (a *Answer) grantIsolation() {
	if a.pool == nil || a.req.Key != nil {
		return
	}
	a.isolationGranted = true
	vms := a.router.rankUpstreams(time.Now(), a.pool, a.fingerprint)
	a.candidates = append(vms[:1:1], a.candidates...)
}

// reassign sends a suspect that was refused to the site of its crash.
func (a *Answer) reassign(vm topo.VM) topo.VM {
	ruling, _ := a.router.suspects.decide(time.Now(), a.fingerprint)
	if ruling.Action != quarantine.Elsewhere {
		return vm
	}
	if site, ok := a.view.VMs[ruling.Site]; ok {
		return site
	}
	return vm
}

// reportCrash tells the sidecars that a resend of the request would be offered to
// of a crash, before the caller is answered and can send it again. Otherwise a
// resend that comes at once, through another router, takes the next upstream
// with it.
func (a *Answer) reportCrash(at *attempt, err *verdict.Error) {
	if err.Reason != verdict.ReasonUpstreamFailed || err.Verdict == verdict.NotRun {
		return
	}
	evidence := a.router.suspects.evidence(time.Now(), a.fingerprint)
	if len(evidence) == 0 {
		return
	}
	if ruling, _ := a.router.suspects.decide(time.Now(), a.fingerprint); ruling.Action == quarantine.Refuse {
		go a.router.storeConviction(a.fingerprint)
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, vm := range a.resendTargets() {
		if vm.ID == at.vm.ID {
			continue
		}
		wg.Go(func() {
			if a.router.peer(vm).Call(ctx, wire.MethodReport, wire.Report{Suspects: evidence}, nil) == nil {
				crashReports.Inc(reportDelivered)
			} else {
				crashReports.Inc(reportLost)
			}
		})
	}
	wg.Wait()
}

// returnPermit tells the site of a crash that the leave it gave an attempt will not
// be used: no sidecar on its way has taken it.
func (a *Answer) returnPermit(at *attempt) {
	if !at.hasPermit || at.crashSite.ID == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	unused := wire.Leave{Fingerprint: a.fingerprint, Nonce: at.permitNonce}
	_ = a.router.peer(at.crashSite).Call(ctx, wire.MethodReport, wire.Report{Unused: &unused}, nil)
}

// resendTargets returns the VMs that a resend would be offered to first: through this
// router, and through one of each failure domain that knows no loads.
func (a *Answer) resendTargets() []topo.VM {
	seen := make(map[string]topo.VM)
	for _, vm := range a.candidates[:min(resendTargetsPerRouter, len(a.candidates))] {
		seen[vm.ID] = vm
	}
	if a.pool != nil {
		a.addDomainTargets(seen)
	}
	delete(seen, "") // the VM of a key that the list does not know
	return slices.Collect(maps.Values(seen))
}

func (a *Answer) addDomainTargets(seen map[string]topo.VM) {
	members := a.pool.members
	domains := make(map[string]bool)
	for _, vm := range a.pool.VMs {
		domains[vm.FailureDomain] = true
	}
	q := placement.Query{Session: a.session, Ticket: placement.None, Random: a.candidateSeed()}
	for domain := range domains {
		p := placement.NewPool(members, placement.Locality{Domain: domain})
		var out [placement.MaxCandidates]int
		n := p.Choose(time.Now(), load.NewTable(), q, &out)
		for _, i := range out[:min(resendTargetsPerRouter, n)] {
			seen[a.pool.VMs[i].ID] = a.pool.VMs[i]
		}
	}
}
