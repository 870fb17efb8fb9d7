package standin

import (
	"fmt"
	"io"
	"net/http"
	"sync"
)

// Service stands in for a plain service. It records each call and echoes the request in
// its response.
type Service struct {
	name string
	mu   sync.Mutex
	runs []Run

	health health
}

// NewService returns a Service that includes name in its responses.
func NewService(name string) *Service {
	return &Service{name: name, health: newHealth()}
}

// Register adds the service's routes to mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/runs", s.serveRuns)
	mux.HandleFunc("GET /health", s.health.serve)
	mux.HandleFunc("/", s.serve)
}

// Runs returns the recorded calls, in order.
func (s *Service) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Service) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.Runs())
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	defer s.health.begin()()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, Run{Key: r.Header.Get(RunHeader), Text: r.Method + " " + r.URL.Path})
	n := len(s.runs)
	s.mu.Unlock()
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s %d: %s %s %s\n", s.name, n, r.Method, r.URL.RequestURI(), body)
}
