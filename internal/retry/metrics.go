package retry

import "github.com/parsleyfront/parsleyfront/internal/telemetry"

var (
	repeats = telemetry.NewFamily[Cause]("retry_repeats_total", "cause",
		"Attempts beyond the first of a request that the budget allowed, by why they were wanted.")
	refusedRepeats = telemetry.NewFamily[Cause]("retry_refused_repeats_total", "cause",
		"Attempts beyond the first of a request that the budget did not allow, by why they were wanted.")
)

// countRepeat counts a further attempt that was wanted.
func countRepeat(cause Cause, allowed bool) {
	if allowed {
		repeats.Inc(cause)
	} else {
		refusedRepeats.Inc(cause)
	}
}
