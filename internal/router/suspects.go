package router

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/platform"
	"github.com/parsleyfront/parsleyfront/internal/quarantine"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

const (
	// suspectsTold is how many bytes of suspects go with one message at most.
	suspectsTold = 256
	// reportTimeout bounds a report of a crash, which a caller waits for.
	reportTimeout = 500 * time.Millisecond
	// reportTo is how many sidecars are told of a crash at most.
	reportTo = 2
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
	reportTaken reportOutcome = "taken"
	reportLost  reportOutcome = "lost"
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
func (s *suspects) merge(now time.Time, told json.RawMessage) {
	if len(told) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.book.Merge(now, told)
}

// rule decides on a request, and returns what the sidecar is to be told.
func (s *suspects) rule(now time.Time, print uint64) (quarantine.Ruling, json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := quarantine.Print(print)
	r := s.book.Decide(now, p, false)
	if r.Action == quarantine.Free {
		return r, s.book.Gossip(now, suspectsTold)
	}
	return r, s.book.About(now, p)
}

// about returns all that is known of a request.
func (s *suspects) about(now time.Time, print uint64) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.book.About(now, quarantine.Print(print))
}

func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.book.Expire(now)
}

// confine makes a suspect's site the only candidate, and refuses a convict.
func (a *Answer) confine(now time.Time) *verdict.Error {
	ruling, _ := a.router.suspects.rule(now, a.print)
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
			a.restrict(site)
		} else {
			a.lend()
		}
	}
	return nil
}

// restrict puts the site of the crash in the place of all candidates but the VM
// of the caller's key, which decides first.
func (a *Answer) restrict(site platform.VM) {
	if a.req.Key == nil {
		a.candidates = append([]platform.VM{site}, a.candidates...)
		return
	}
	a.candidates = append(a.candidates[:1:1], site)
}

// lend gives leave to run alone in the place of a site that has left the list:
// at the VM that ranks first for the request itself, the same at all routers
// with the same list.
func (a *Answer) lend() {
	if a.pool == nil || a.req.Key != nil {
		return
	}
	a.lent = true
	vms := a.router.rank(time.Now(), a.pool, a.print)
	a.candidates = append(vms[:1:1], a.candidates...)
}

// reassign sends a suspect that was refused to the site of its crash.
func (a *Answer) reassign(vm platform.VM) platform.VM {
	ruling, _ := a.router.suspects.rule(time.Now(), a.print)
	if ruling.Action != quarantine.Elsewhere {
		return vm
	}
	if site, ok := a.view.VMs[ruling.Site]; ok {
		return site
	}
	return vm
}

// report tells the sidecars that a resend of the request would be offered to
// of a crash, before the caller is answered and can send it again. Otherwise a
// resend that comes at once, through another router, takes the next upstream
// with it.
func (a *Answer) report(at *attempt, err *verdict.Error) {
	if err.Reason != verdict.ReasonUpstreamFailed {
		return
	}
	told := a.router.suspects.about(time.Now(), a.print)
	if len(told) == 0 {
		return
	}
	ctx, done := context.WithTimeout(context.Background(), reportTimeout)
	defer done()
	var wg sync.WaitGroup
	for i, vm := range a.candidates {
		if i >= reportTo || vm.ID == "" || vm.ID == at.vm.ID {
			continue
		}
		wg.Go(func() {
			if a.router.peer(vm).Call(ctx, wire.MethodReport, wire.Report{Suspects: told}, nil) == nil {
				crashReports.Inc(reportTaken)
			} else {
				crashReports.Inc(reportLost)
			}
		})
	}
	wg.Wait()
}
