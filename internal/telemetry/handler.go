package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
)

// memStats is the name under which expvar publishes the runtime's memory statistics.
const memStats = "memstats"

// Handler returns a handler that serves the metrics and memory statistics of this process
// as JSON.
//
// It replaces expvar.Handler, which also shows the command line: a secret passed in a flag
// would be visible to everyone who may read the metrics.
func Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		fmt.Fprint(w, "{\n")
		for _, d := range Descs() {
			fmt.Fprintf(w, "%q: %s,\n", d.Name, expvar.Get(d.Name))
		}
		fmt.Fprintf(w, "%q: %s\n}\n", memStats, expvar.Get(memStats))
	})
}
