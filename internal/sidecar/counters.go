package sidecar

import (
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

var (
	admittedRequests = telemetry.NewCounter("sidecar_admitted_total",
		"Requests admitted to run or to wait.")
	refusedRequests = telemetry.NewFamily[verdict.Reason]("sidecar_refused_total", "reason",
		"Requests not admitted, by reason.")
	joinedRequests = telemetry.NewCounter("sidecar_joined_total",
		"Requests whose key was known: they were given the answer that was there.")
	failedRequests = telemetry.NewFamily[verdict.Reason]("sidecar_failed_total", "reason",
		"Admitted requests that ended without a whole answer, by reason.")
	droppedResponses = telemetry.NewCounter("sidecar_dropped_answers_total",
		"Finished answers dropped before their time because the buffer was full.")
	crashes = telemetry.NewCounter("sidecar_crashes_total",
		"Crashes of the upstream.", telemetry.Alert)
	forbiddenCalls = telemetry.NewCounter("sidecar_forbidden_calls_total",
		"Calls refused because the caller's certificate is of a role that does not make them.", telemetry.Alert)
	exportedSessions = telemetry.NewCounter("sidecar_exported_sessions_total",
		"Cached prefixes handed to another upstream, before leaving or because it joined.")
	exportFailures = telemetry.NewCounter("sidecar_export_failures_total",
		"Cached prefixes that could not be handed over.")
	withheldExports = telemetry.NewCounter("sidecar_withheld_exports_total",
		"Cached prefixes that were not handed over since a request of their session has not run to its end, or is a suspect.")
	refusedImports = telemetry.NewFamily[verdict.Reason]("sidecar_refused_imports_total", "reason",
		"Cached prefixes of other upstreams that were not taken over, by reason.")
	importedSessions = telemetry.NewCounter("sidecar_imported_sessions_total",
		"Cached prefixes taken over from other upstreams.")
)

var (
	loadGauge = telemetry.NewGauge("sidecar_load_requests",
		"Requests admitted that have not ended.")
	runningGauge = telemetry.NewGauge("sidecar_running_requests",
		"Requests at the upstream, those of a former sidecar included.")
	keysGauge = telemetry.NewGauge("sidecar_key_entries",
		"Request keys that are remembered.")
	responseBytes = telemetry.NewGauge("sidecar_answer_bytes",
		"Bytes of the answers that are kept.")
)

// updateGauges sets the gauges from the state.
func (s *State) updateGauges() {
	loadGauge.Set(int64(s.load()))
	runningGauge.Set(int64(s.queue.Running()))
	keysGauge.Set(int64(s.table.Len()))
}

func countReply(e Reply) {
	switch {
	case e.Admission.Error != nil:
		refusedRequests.Inc(e.Admission.Error.Reason)
	case e.Admission.Joined:
		joinedRequests.Inc()
	}
}

func countFinish(e Finish) {
	if e.Error != nil {
		failedRequests.Inc(e.Error.Reason)
	}
}
