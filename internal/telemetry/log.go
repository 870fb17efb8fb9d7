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
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: plainError}
	if f == LogJSON {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// plainError writes an error as its message. The handlers would write one of
// package errors with the stack that made it, over many lines.
func plainError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
