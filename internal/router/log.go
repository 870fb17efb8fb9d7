package router

import (
	"context"
	"log/slog"
	"math"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
	"github.com/parsleyfront/parsleyfront/internal/router/dispatch"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	firstByteTime = telemetry.NewHistogram("router_first_byte_seconds",
		"Time from a caller's request to the first byte of its answer.")
	responseTime = telemetry.NewHistogram("router_answer_seconds",
		"Time from a caller's request to the end of its answer, or to what it was told in place of one.")
	requestOutcomes = telemetry.NewFamily[requestOutcome]("router_answers_total", "outcome",
		"Requests that were offered to upstreams, by how they ended: answered, the reason of a failure, or caller-left.")
)

var drainedDomains = telemetry.NewGauge("router_drained_domains",
	"Failure domains whose upstreams take no new work by operators' order.")

// requestOutcome is how a request ended: one of the two below or the reason of its
// failure.
type requestOutcome string

const (
	outcomeAnswered   requestOutcome = "answered"
	outcomeCallerLeft requestOutcome = "caller-left"
)

// logOffer logs to which upstream a request is offered, and the values behind
// the choice.
func (resp *Response) logOffer(at *attempt, e dispatch.Offer, to target) {
	attrs := []slog.Attr{
		slog.String("profile", resp.req.Profile.Name),
		slog.String("upstream", at.vm.ID),
		slog.Int("attempt", at.number),
		slog.Int("candidate", e.Candidate),
		slog.Int("of", len(resp.candidates)),
		slog.Any("config_version", resp.view.Version),
	}
	if resp.plan.Direct {
		attrs = append(attrs,
			slog.Float64("load", roundTenths(to.load)),
			slog.Float64("mean_load", roundTenths(resp.basis.Mean)),
			slog.Float64("bound", roundTenths(resp.basis.Bound)),
			slog.Int64("expected_ms", resp.estimatedStart().Milliseconds()),
			slog.Bool("behind", resp.basis.Deferred),
			slog.String("donor", at.donor.ID),
			slog.String("version", at.vm.SoftwareVersion))
		if resp.req.resumesStream() {
			attrs = append(attrs, slog.String("resumes", resp.req.Resumes), slog.String("last_event", resp.req.LastEventID))
		}
		now := time.Now()
		if age := to.tracker.LoadAge(now, load.Hash(at.vm.ID)); age >= 0 {
			attrs = append(attrs, slog.Int64("load_age_ms", age.Milliseconds()))
		}
		if to.despite != "" {
			attrs = append(attrs, slog.String("despite", to.despite))
		}
		if n := to.tracker.SuspectedCount(now); n > 0 {
			attrs = append(attrs, slog.Int("suspected", n))
		}
		if slowdown := to.tracker.ReportedSlowdown(now, load.Hash(at.vm.ID)); slowdown > 0 {
			attrs = append(attrs, slog.Float64("reported_slowdown", roundTenths(slowdown)))
		}
		if home, reason := resp.passedOver(now); home != "" {
			attrs = append(attrs, slog.String("home", home), slog.String("passed_over", reason))
		}
	}
	if e.Continue {
		attrs = append(attrs, slog.Int64("from_offset", resp.bytesSent))
	}
	resp.log(telemetry.LineRoutine, "request placed", attrs...)
}

// roundTenths rounds to one decimal for the log. An infinite value, which stands for
// no bound, becomes -1, because JSON has no infinity.
func roundTenths(x float64) float64 {
	if math.IsInf(x, 0) {
		return -1
	}
	return math.Round(x*10) / 10
}

// logEvent logs an event if it is the failure of an attempt. decided reports whether
// the failure had effects, such as another attempt or the end of the request.
func (resp *Response) logEvent(e dispatch.Event, decided bool) {
	switch e := e.(type) {
	case dispatch.Unreachable:
		resp.logFailure("attempt did not reach its upstream", e.Attempt, e.Err, decided)
	case dispatch.Refused:
		resp.logFailure("attempt was refused", e.Attempt, e.Err, decided)
	case dispatch.ConnectionLost:
		resp.logFailure("attempt was lost", e.Attempt, verdict.New(verdict.MayHaveRun, verdict.ReasonConnection, ""), decided)
	case dispatch.ErrorResponse:
		resp.logFailure("upstream answered with a failure", e.Attempt, e.Err, decided)
	case dispatch.Ended:
		if e.Err != nil {
			resp.logFailure("attempt failed", e.Attempt, e.Err, decided)
		}
	}
}

func (resp *Response) logFailure(msg string, number int, err *verdict.Error, decided bool) {
	var fingerprint string
	if len(resp.prints) > 0 {
		fingerprint = resp.prints[0].String()
	}
	resp.log(telemetry.LineFailure, msg,
		slog.Int("attempt", number),
		slog.String("fingerprint", fingerprint),
		slog.String("upstream", resp.attempts[number].vm.ID),
		slog.String("reason", string(err.Reason)),
		slog.String("verdict", err.Verdict.String()),
		slog.String("detail", err.Detail),
		slog.Int64("after_ms", time.Since(resp.started).Milliseconds()),
		slog.Bool("decided", decided))
}

// logEnd logs and counts the end of the request, once.
func (resp *Response) logEnd() {
	if resp.endLogged || resp.state == nil {
		return
	}
	resp.endLogged = true
	took := time.Since(resp.started)
	outcome, class := resp.outcome()
	requestOutcomes.Inc(outcome)
	if outcome == outcomeAnswered && resp.plan.Direct && (resp.winner == nil || !resp.winner.timedOut) {
		resp.router.suspects.Served(time.Now(), resp.prints[0])
	}
	responseTime.Observe(took)
	if resp.timeToFirstByte > 0 {
		firstByteTime.Observe(resp.timeToFirstByte)
	}
	attrs := []slog.Attr{
		slog.String("outcome", string(outcome)),
		slog.Int("attempts", len(resp.attempts)),
		slog.Int64("bytes", resp.bytesSent),
		slog.Int64("first_byte_ms", resp.timeToFirstByte.Milliseconds()),
		slog.Int64("took_ms", took.Milliseconds()),
	}
	if resp.winner != nil && resp.winner.reported != nil {
		attrs = append(attrs, slog.Int("reported_load", resp.winner.reported.Running+resp.winner.reported.Waiting))
	}
	if resp.result != nil {
		attrs = append(attrs, slog.String("verdict", resp.result.Verdict.String()), slog.String("detail", resp.result.Detail))
	}
	if resp.req.Org != nil {
		attrs = append(attrs, slog.String("organisation", resp.req.Org.Name))
	}
	resp.log(class, "request ended", attrs...)
}

// outcome returns how the request ended, and the class of its log line.
func (resp *Response) outcome() (requestOutcome, telemetry.LineClass) {
	switch {
	case resp.result != nil:
		return requestOutcome(resp.result.Reason), telemetry.LineFailure
	case !resp.state.Finished():
		return outcomeCallerLeft, telemetry.LineRoutine
	default:
		return outcomeAnswered, telemetry.LineRoutine
	}
}

func (resp *Response) log(class telemetry.LineClass, msg string, attrs ...slog.Attr) {
	resp.router.config.RequestLog.Log(class, msg, resp.req.ID, attrs...)
}

// logFollowed logs configuration that has come into force or was rejected.
func logFollowed(e ConfigApplied) {
	if len(e.Objects) > 0 {
		newest := topo.Version(0)
		for _, o := range e.Objects {
			newest = max(newest, o.Version)
		}
		slog.Info("configuration is in force", "version", newest, "edition", e.Edition, "objects", len(e.Objects))
	}
	for _, order := range e.Drained {
		drainedDomains.Set(int64(order.InForce))
		slog.Warn("order to a failure domain is in force", "failure_domain", order.Domain, "drained", order.Drained, "version", order.Version)
	}
	for _, p := range e.Rejected {
		slog.Error("configuration object is invalid for this release and not in force", "object", p.Ref.String(), "problem", p.Message)
	}
}

// logMembers logs which upstreams have joined, are leaving or have left.
func logMembers(e MembershipChanged) {
	for _, c := range e.Changes {
		slog.LogAttrs(context.Background(), slog.LevelInfo, "upstream "+string(c.State),
			slog.String("upstream", c.VM.ID), slog.String("addr", c.VM.Addr), slog.String("pool", c.VM.Pool),
			slog.String("failure_domain", c.VM.FailureDomain))
	}
}
