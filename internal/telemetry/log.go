package telemetry

import (
	"io"
	"log/slog"
)

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// NewLogger returns a logger for changes of the process's state. Single requests are counted
// and traced; lines about them are only written through a RequestLog, which limits their
// rate.
func NewLogger(w io.Writer, f LogFormat, level slog.Level) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level, ReplaceAttr: plainError}
	if f == LogJSON {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// plainError replaces an error by its message. The handlers would write an error of package
// errors with its stack trace, over many lines.
func plainError(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
