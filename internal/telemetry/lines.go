package telemetry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedBytes bounds the lines that wait to be written, in bytes. Lines that exceed
	// it, because standard output is read too slowly, are dropped and counted.
	maxQueuedBytes = 256 << 10
	// Rate limit of the lines about requests, for each class: lines a second on average, and
	// lines that may be written at once. At 300 bytes a line both classes add up to 60 KB a
	// second, which takes a hundredth of a core.
	routineLinesPerSecond, routineBurst = 100, 400
	failureLinesPerSecond, failureBurst = 100, 400
	// suppressedReportInterval is the minimum time between two lines that report how many
	// lines were suppressed.
	suppressedReportInterval = 5 * time.Second
)

var (
	droppedLines = NewCounter("telemetry_dropped_lines_total",
		"Log lines that were dropped because standard output was not read fast enough.")
	suppressedLines = NewFamily[LineClass]("telemetry_suppressed_lines_total", "class",
		"Log lines about requests that were left out to bound their volume, by class.")
)

// LineClass is a class of lines about requests. Each has its own rate limit, so that lines
// about failures are not suppressed by the number of routine ones.
type LineClass string

// Classes of lines about requests.
const (
	LineRoutine LineClass = "routine"
	LineFailure LineClass = "failure"
)

// QueuedWriter writes to another writer in the background, so that Write never blocks on
// it.
type QueuedWriter struct {
	mu      sync.Mutex
	queue   []byte
	wake    chan struct{}
	closing bool // it ends when the queue is empty
	closed  bool // later lines are dropped
	done    chan struct{}
}

// NewQueuedWriter returns a QueuedWriter that writes to w.
func NewQueuedWriter(w io.Writer) *QueuedWriter {
	q := &QueuedWriter{wake: make(chan struct{}, 1), done: make(chan struct{})}
	go q.run(w)
	return q
}

// processLines is the QueuedWriter of the process's log; nil: its lines are written at once.
var processLines atomic.Pointer[QueuedWriter]

// SetProcessLines makes q the writer that CloseProcessLines closes.
func SetProcessLines(q *QueuedWriter) {
	processLines.Store(q)
}

// CloseProcessLines writes what is queued of the process's log, for timeout at most. It is for ends of the
// process that no caller of SetProcessLines sees.
func CloseProcessLines(timeout time.Duration) {
	if q := processLines.Load(); q != nil {
		q.Close(timeout)
	}
}

// panicFlushTimeout bounds how long a panic waits for the log to be written.
const panicFlushTimeout = time.Second

// LogPanic, when deferred, logs a panic of its goroutine, writes what is queued of the log and panics
// again.
func LogPanic(goroutine string) {
	v := recover()
	if v == nil {
		return
	}
	slog.Error("ended by a panic", "goroutine", goroutine, "value", fmt.Sprint(v), "stack", string(debug.Stack()))
	CloseProcessLines(panicFlushTimeout)
	panic(v)
}

// Write implements io.Writer. It queues line as a whole, or drops it and returns no error.
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
	var written []byte // buffer of the lines written last, reused as the next queue
	for range q.wake {
		for closing := true; closing; {
			q.mu.Lock()
			lines := q.queue
			q.queue = written[:0]
			closing = q.closing
			q.closed = closing && len(lines) == 0
			q.mu.Unlock()
			if q.closed {
				return
			}
			// There is no other place to report an error of standard output.
			_, _ = w.Write(lines)
			written = lines
		}
	}
}

// Close waits until all queued lines are written, for timeout at most. Lines that come meanwhile are
// written, too; later ones are dropped.
func (q *QueuedWriter) Close(timeout time.Duration) {
	q.mu.Lock()
	q.closing = true
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

// RequestLog writes log lines about single requests at a limited rate. The nil RequestLog
// writes nothing.
type RequestLog struct {
	logger *slog.Logger

	mu         sync.Mutex
	limits     map[LineClass]*lineLimiter
	lastReport time.Time // of suppressed lines
}

// lineLimiter is a token bucket that limits one class of lines. With wholeSeconds, it keeps the
// lines of whole seconds, if there are too many: one second in so many that the mean rate
// holds. These are the same seconds at all processes with about as many lines, so that what
// several processes did in one second can be put together.
type lineLimiter struct {
	rate, burst  float64
	wholeSeconds bool
	tokens       float64
	refilledAt   time.Time
	second       int64 // Unix time of the current second
	seen         int   // lines in that second, suppressed ones included
	every        int64 // one second in every is kept
	suppressed   int   // since the last report
}

// isSampled reports whether lines of the current second are kept, and counts the line.
func (l *lineLimiter) isSampled(now time.Time) bool {
	if second := now.Unix(); second != l.second {
		l.every = max(1, int64(math.Ceil(float64(l.seen)/l.rate)))
		l.second, l.seen = second, 0
	}
	l.seen++
	return !l.wholeSeconds || l.second%l.every == 0
}

// NewRequestLog returns a RequestLog that writes to l.
func NewRequestLog(l *slog.Logger) *RequestLog {
	return &RequestLog{logger: l, limits: map[LineClass]*lineLimiter{
		LineRoutine: {rate: routineLinesPerSecond, burst: routineBurst, tokens: routineBurst, wholeSeconds: true, every: 1},
		LineFailure: {rate: failureLinesPerSecond, burst: failureBurst, tokens: failureBurst, every: 1},
	}}
}

// Log writes a line about the request id. It suppresses the line if its class is over its
// rate limit.
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

// allow reports whether a line of class may be written at the time now, and counts the line
// against the limit. Before that it logs how many lines were suppressed, if this is due.
func (r *RequestLog) allow(now time.Time, class LineClass) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reportSuppressed(now)
	l := r.limits[class]
	if elapsed := now.Sub(l.refilledAt).Seconds(); elapsed > 0 {
		l.tokens = min(l.burst, l.tokens+elapsed*l.rate)
	}
	l.refilledAt = now
	if !l.isSampled(now) || l.tokens < 1 {
		l.suppressed++
		return false
	}
	l.tokens--
	return true
}

// reportSuppressed logs how many lines were suppressed since the last report, if any were
// and the interval is over. r.mu must be held.
func (r *RequestLog) reportSuppressed(now time.Time) {
	routine, failure := r.limits[LineRoutine], r.limits[LineFailure]
	if routine.suppressed+failure.suppressed == 0 || now.Sub(r.lastReport) < suppressedReportInterval {
		return
	}
	r.logger.Warn("log lines about requests were suppressed", "routine", routine.suppressed, "failure", failure.suppressed)
	routine.suppressed, failure.suppressed = 0, 0
	r.lastReport = now
}
