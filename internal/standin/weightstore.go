package standin

import (
	"net/http"
	"sync"
	"time"
)

// WeightStore stands in for a rate-limited store of model weights. It also serves
// loads that exceed the limit, but counts them as violations, so that tests can check
// a client's pacing.
type WeightStore struct {
	interval time.Duration

	mu       sync.Mutex
	lastLoad time.Time
	report   WeightReport
}

// WeightReport lists the loads that a WeightStore has served.
type WeightReport struct {
	Loads      int      `json:"loads"`
	Violations int      `json:"violations"` // loads less than the minimum interval after the previous one
	Models     []string `json:"models"`     // as model/version, in order
}

// NewWeightStore returns a WeightStore that allows one load per interval.
func NewWeightStore(interval time.Duration) *WeightStore {
	return &WeightStore{interval: interval}
}

// Register adds the store's routes to mux.
func (s *WeightStore) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /weights/{model}/{version}", s.get)
	mux.HandleFunc("GET /debug/weights", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Report()) })
}

// Report returns a copy of the loads served so far.
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
