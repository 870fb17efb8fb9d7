package soak

import (
	"testing"
	"time"

	"github.com/parsleyfront/parsleyfront/platform/fake"
)

// leavingStory is what one router forwarded and two incarnations of a runner received, in seconds.
type leavingStory struct {
	name                    string
	formerSays, presentSays float64            // when the router forwarded that the incarnation leaves; negative: never
	atFormer, atPresent     map[string]float64 // when callers sent the requests that the incarnation received
	late                    int                // requests that the check must report
}

var leavingStories = []leavingStory{
	{name: "a successor works before it announces its own leaving", formerSays: 1, presentSays: 6, atPresent: map[string]float64{"a": 3.5, "b": 5.6}},
	{name: "a successor that never leaves", formerSays: 1, presentSays: -1, atPresent: map[string]float64{"a": 3}},
	{name: "a successor gets a request after its announcement", formerSays: 1, presentSays: 4, atPresent: map[string]float64{"a": 3, "b": 5}, late: 1},
	{name: "the former incarnation gets one after its announcement", formerSays: 1, presentSays: -1, atFormer: map[string]float64{"a": 0.5, "b": 1.5}, atPresent: map[string]float64{"c": 3}, late: 1},
}

// A runner announces that it leaves, starts again under its id and announces it once more later.
// Guards against counting the requests between as sent to a leaving runner, and against passing over
// those that either incarnation got after its own announcement.
func TestLeavingIsCheckedForEachIncarnation(t *testing.T) {
	for _, s := range leavingStories {
		t.Run(s.name, func(t *testing.T) {
			h := newHarness(t, 1, false)
			router := &entry{harness: h, name: "front-0"}
			start := time.Now()
			at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
			for incarnation, says := range map[string]float64{"runner-2/1": s.formerSays, "runner-2/7": s.presentSays} {
				if says >= 0 {
					h.calls = append(h.calls, &call{entry: router, signature: incarnation, signalsLeaving: true, done: at(says)})
				}
			}
			reports := h.leavingReports()
			late := 0
			for incarnation, sent := range map[string]map[string]float64{"runner-2/1": s.atFormer, "runner-2/7": s.atPresent} {
				var arrivals []fake.Arrival
				for id, seconds := range sent {
					h.sent[id] = &call{id: id, entry: router, sent: at(seconds)}
					arrivals = append(arrivals, fake.Arrival{ID: id})
				}
				late += len(h.requestsAfterReport(incarnation, arrivals, reports))
			}
			if late != s.late {
				t.Errorf("%d requests reported, want %d", late, s.late)
			}
		})
	}
}
