package telemetry

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait to be written, in bytes. While the
	// reader of standard output is slow, later lines are dropped and counted.
	maxQueuedBytes = 256 << 10
	// routineLinesPerSecond and failureRate bound the lines about requests, a second, and
	// routineBurst and failureBurst what may come at once. At 300 bytes a line
	// that is 60 KB a second, a hundredth of a core.
	routineLinesPerSecond, routineBurst = 100, 400
	failureLinesPerSecond, failureBurst = 100, 400
	// suppressedReportInterval is how often the lines that were left out are told.
	suppressedReportInterval = 5 * time.Second
)

var (
	droppedLines = NewCounter("telemetry_dropped_lines_total",
		"Log lines that were dropped because standard output was not read fast enough.")
	suppressedLines = NewFamily[LineClass]("telemetry_suppressed_lines_total", "class",
		"Log lines about requests that were left out to bound their volume, by class.")
)

// LineClass is a class of lines about requests. Each has a bound of its own, so
// that failures are not left out because so much went well.
type LineClass string

// Classes of lines.
const (
	LineRoutine LineClass = "routine"
	LineFailure LineClass = "failure"
)

// QueuedWriter writes to another writer without ever making its caller wait.
type QueuedWriter struct {
	mu     sync.Mutex
	queue  []byte
	wake   chan struct{}
	closed bool
	done   chan struct{}
}

// NewQueuedWriter returns a QueuedWriter in front of w.
func NewQueuedWriter(w io.Writer) *QueuedWriter {
	q := &QueuedWriter{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer. It takes one whole line or drops it.
func (q *QueuedWriter) Write(line []byte) (int, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || len(q.queue)+len(line) > maxQueuedBytes {
		droppedLines.Inc()
		return len(line), nil
	}
	q.queue = append(q.queue, line...)
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

func (q *QueuedWriter) run(w io.Writer) {
	defer close(q.done)
	var spare []byte
	for range q.wake {
		q.mu.Lock()
		lines, closed := q.queue, q.closed
		q.queue = spare[:0]
		q.mu.Unlock()
		// Where standard output is gone there is nowhere to say so.
		_, _ = w.Write(lines)
		spare = lines
		if closed {
			return
		}
	}
}

// Close writes what is queued, for as long as within at most.
func (q *QueuedWriter) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closed = true
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	select {
	case <-q.done:
	case <-time.After(timeout):
	}
}

// RequestLog writes lines about single requests, in bounded volume. The nil
// RequestLog writes nothing.
type RequestLog struct {
	logger *slog.Logger

	mu         sync.Mutex
	limits     map[LineClass]*lineLimiter
	lastReport time.Time // when suppressed lines were told last
}

// lineLimiter is the bound of one class of lines.
type lineLimiter struct {
	rate, burst float64
	tokens      float64
	refilledAt  time.Time
	suppressed  int // since they were told last
}

// NewRequestLog returns a RequestLog that writes to l.
func NewRequestLog(l *slog.Logger) *RequestLog {
	return &RequestLog{logger: l, limits: map[LineClass]*lineLimiter{
		LineRoutine: {rate: routineLinesPerSecond, burst: routineBurst, tokens: routineBurst},
		LineFailure: {rate: failureLinesPerSecond, burst: failureBurst, tokens: failureBurst},
	}}
}

// Log writes a line about the request id, unless too many of its class came
// before.
func (r *RequestLog) Log(class LineClass, msg, id string, attrs ...slog.Attr) {
	if r == nil {
		return
	}
	now := time.Now()
	if !r.allow(now, class) {
		suppressedLines.Inc(class)
		return
	}
	level := slog.LevelInfo
	if class == LineFailure {
		level = slog.LevelWarn
	}
	r.logger.LogAttrs(context.Background(), level, msg, append([]slog.Attr{slog.String("request", id)}, attrs...)...)
}

// allow reports whether a line may be written, and tells from time to time how
// many might not.
func (r *RequestLog) allow(now time.Time, class LineClass) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportSuppressed(now)
	l := r.limits[class]
	if elapsed := now.Sub(l.refilledAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.burst, l.tokens+elapsed*l.rate)
	}
	l.refilledAt = now
	if l.tokens < 1 {
		l.suppressed++
		return false
	}
	l.tokens--
	return true
}

// reportSuppressed writes how many lines were suppressed. It needs r.mu held.
func (r *RequestLog) reportSuppressed(now time.Time) {
	routine, failure := r.limits[LineRoutine], r.limits[LineFailure]
	if routine.suppressed+failure.suppressed == 0 || now.Sub(r.lastReport) < suppressedReportInterval {
		return
	}
	r.logger.Warn("lines about requests were left out", "routine", routine.suppressed, "failure", failure.suppressed)
	routine.suppressed, failure.suppressed = 0, 0
	r.lastReport = now
}
