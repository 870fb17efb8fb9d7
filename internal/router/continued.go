package router

import (
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

var continuedStreams = telemetry.NewFamily[continuation]("router_continued_streams_total", "version",
	"Streams that broke off and that this router has continued at another upstream, by the software version there.")

// continuation is how a stream was continued at another upstream.
type continuation string

const (
	continuedAtSame  continuation = "same"
	continuedAtOther continuation = "other"
	continuedNowhere continuation = "none" // there was no upstream
)

// countContinued counts that a stream which broke off at an upstream continues at another one; the zero
// VM: at none.
func countContinued(from, to topo.VM) {
	switch {
	case to.ID == "":
		continuedStreams.Inc(continuedNowhere)
	case to.SoftwareVersion == from.SoftwareVersion:
		continuedStreams.Inc(continuedAtSame)
	default:
		continuedStreams.Inc(continuedAtOther)
	}
}

// lastTried returns the upstream of the latest attempt.
func (resp *Response) lastTried() topo.VM {
	return resp.attempts[len(resp.attempts)-1].vm
}
