package telemetry

import (
	"io"
	"log/slog"
)

// LogFormat is how lines are written.
type LogFormat string

// Formats of lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger for changes of state. What happens with each
// request is counted and traced, not logged.
func NewLogger(w io.Writer, f LogFormat, level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if f == LogJSON {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}
