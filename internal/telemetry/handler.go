package telemetry

import (
	"bytes"
	"expvar"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// memStats is the name under which expvar publishes the runtime's memory statistics.
const memStats = "memstats"

// metricsInterval is the shortest time between two readings of the metrics, which stop the process for a moment.
const metricsInterval = 100 * time.Millisecond

// Handler returns a handler that serves the metrics and memory statistics of this process
// as JSON. They are up to metricsInterval old: clients that fetch them again and again
// take no more of the processor for it.
//
// It replaces expvar.Handler, which also shows the command line: a secret passed in a flag
// would be visible to everyone who may read the metrics.
func Handler() http.Handler {
	var metrics cachedMetrics
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		_, _ = w.Write(metrics.text(time.Now())) // fails only on a closed connection
	})
}

// cachedMetrics is the metrics as text, as they were read last.
type cachedMetrics struct {
	mu     sync.Mutex
	readAt time.Time
	latest []byte
}

// text returns the metrics, which must not be changed.
func (c *cachedMetrics) text(now time.Time) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.latest == nil || now.Sub(c.readAt) >= metricsInterval {
		c.latest, c.readAt = readMetrics(), now
	}
	return c.latest
}

// readMetrics returns the metrics as they are now, as JSON.
func readMetrics() []byte {
	var b bytes.Buffer
	b.WriteString("{\n")
	for _, d := range Descs() {
		fmt.Fprintf(&b, "%q: %s,\n", d.Name, expvar.Get(d.Name))
	}
	fmt.Fprintf(&b, "%q: %s\n}\n", memStats, expvar.Get(memStats))
	return b.Bytes()
}
