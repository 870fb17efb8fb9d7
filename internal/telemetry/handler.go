package telemetry

import (
	"expvar"
	"fmt"
	"net/http"
)

// memStats is the name under which expvar publishes the runtime's memory figures.
const memStats = "memstats"

// Handler serves the metrics of this process and its memory figures as JSON.
//
// It stands in for expvar.Handler, which also shows the command line: a secret
// that was given in a flag would be readable by all who may read counters.
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
