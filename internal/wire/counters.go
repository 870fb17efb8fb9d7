package wire

import (
	"encoding/base64"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

var (
	frameBytes = telemetry.NewFamily[Method]("wire_frame_bytes_total", "frame",
		"Bytes sent and received between routers and sidecars, by what they were.")
	duplicateFrames = telemetry.NewCounter("wire_duplicate_frames_total",
		"Frames dropped because they had come before.")
	gaps = telemetry.NewCounter("wire_gaps_total",
		"Connections ended because frames were missing.", telemetry.Alert)
	strayFrames = telemetry.NewCounter("wire_stray_frames_total",
		"Frames dropped because nobody reads their stream any more.")
	crossedFrames = telemetry.NewCounter("wire_crossed_frames_total",
		"Frames dropped because they named another request than their stream.", telemetry.Alert)
	protocolErrors = telemetry.NewCounter("wire_protocol_errors_total",
		"Connections ended because a message made no sense.", telemetry.Alert)
	brokenStreams = telemetry.NewCounter("wire_broken_streams_total",
		"Streams broken off because their frames did not fit together.", telemetry.Alert)
	silentConnections = telemetry.NewCounter("wire_silent_connections_total",
		"Connections between routers and sidecars ended because the other side was not heard.")
	dials = telemetry.NewCounter("wire_dials_total",
		"Connections opened to sidecars, or tried to.")
	dialFailures = telemetry.NewCounter("wire_dial_failures_total",
		"Connections to sidecars that could not be opened.")
	openConnections = telemetry.NewGauge("wire_open_connections",
		"Connections between routers and sidecars that are open now.")
	openStreams = telemetry.NewGauge("wire_open_streams",
		"Answers that this router is reading now.")
)

// controlKinds maps frames that carry neither a request nor a response to their kind of control traffic.
var controlKinds = map[Method]telemetry.ControlKind{
	MethodHello:             telemetry.ControlHello,
	MethodStatus:            telemetry.ControlStatus,
	MethodNotice:            telemetry.ControlNotice,
	MethodReport:            telemetry.ControlReport,
	MethodOrder:             telemetry.ControlOrder,
	MethodConfigSince:       telemetry.ControlConfig,
	frameLabels[kindCredit]: telemetry.ControlCredit,
	frameLabels[kindDetach]: telemetry.ControlCredit,
	frameLabels[kindPing]:   telemetry.ControlHeartbeat,
	frameLabels[kindPong]:   telemetry.ControlHeartbeat,
}

func countFrame(m Method, n int) {
	frameBytes.Add(m, int64(n))
	if kind, ok := controlKinds[m]; ok {
		telemetry.ControlBytes.Add(kind, int64(n))
	}
}

// countControl counts the control bytes that are sent with a request or a response.
func countControl(c Control) {
	if n := len(c.Samples); n > 0 {
		telemetry.ControlBytes.Add(telemetry.ControlLoad, int64(base64.StdEncoding.EncodedLen(n)))
	}
	if n := len(c.Suspects); n > 0 {
		telemetry.ControlBytes.Add(telemetry.ControlSuspects, int64(n))
	}
}
