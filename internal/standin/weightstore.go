package standin

import (
	"net/http"
	"sync"
	"time"
)

// WeightStore serves models at a limited rate. It serves what comes too soon
// as well, and counts it, so that tests see what a client did.
type WeightStore struct {
	interval time.Duration

	mu       sync.Mutex
	lastLoad time.Time
	report   WeightReport
}

// WeightReport is what a WeightStore has seen.
type WeightReport struct {
	Loads      int      `json:"loads"`
	Violations int      `json:"violations"` // loads that came too soon after the one before
	Models     []string `json:"models"`     // as model/version, in order
}

// NewWeightStore returns a WeightStore that allows a load in every.
func NewWeightStore(interval time.Duration) *WeightStore {
	return &WeightStore{interval: interval}
}

// Register adds the store's routes to mux.
func (s *WeightStore) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /weights/{model}/{version}", s.get)
	mux.HandleFunc("GET /debug/weights", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
}

// Report returns what the store has seen.
func (s *WeightStore) Report() WeightReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Models = append([]string(nil), r.Models...)
	return r
}

func (s *WeightStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.report.Loads > 0 && now.Sub(s.lastLoad) < s.interval {
		s.report.Violations++
	}
	s.lastLoad = now
	s.report.Loads++
	s.report.Models = append(s.report.Models, r.PathValue("model")+"/"+r.PathValue("version"))
	writeJSON(w, s.report.Loads)
}
