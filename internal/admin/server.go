package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	// maxWait bounds the wait of a WaitRequest, and so the time for which the
	// router may go on working for a client that has gone.
	maxWait = 5 * time.Second
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 4 << 20
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	VM    string // id of this router's VM
	Node  Node
	Token string // bearer token that requests must carry; empty: none
	// Leaving reports whether the router is shutting down as planned; nil means
	// never.
	Leaving func() bool
}

// Server serves the API of one router.
type Server struct {
	config Config
	mux    *http.ServeMux
	client *http.Client // calls the peers
}

// NewServer returns a Server for the router in c.
func NewServer(c Config) *Server {
	s := &Server{config: c, mux: http.NewServeMux(), client: &http.Client{Transport: newTransport(nil)}}
	s.mux.HandleFunc("GET "+PathStatus, s.status)
	s.mux.HandleFunc("GET "+PathVersions, s.versions)
	s.mux.HandleFunc("POST "+PathWait, s.wait)
	s.mux.HandleFunc("POST "+PathExplain, s.explain)
	s.mux.HandleFunc("GET "+PathFleet, s.fleet)
	s.mux.HandleFunc("POST "+PathFleetWait, s.fleetWait)
	s.mux.Handle("GET "+PathVars, telemetry.Handler())
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if !s.authorized(r) {
		writeError(w, http.StatusUnauthorized, "the token is missing or wrong: set --admin-token-file")
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) authorized(r *http.Request) bool {
	if s.config.Token == "" {
		return true
	}
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.config.Token)) == 1
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.ownStatus(r.URL.Query().Has("brief")))
}

func (s *Server) ownStatus(brief bool) Status {
	own := s.config.Node.Status(brief)
	own.Draining = s.config.Leaving != nil && s.config.Leaving()
	return own
}

// versions returns the versions in force of the objects named by ref=kind/name.
func (s *Server) versions(w http.ResponseWriter, r *http.Request) {
	out := []ObjectVersion{}
	for _, text := range r.URL.Query()["ref"] {
		kind, name, ok := strings.Cut(text, "/")
		if !ok {
			writeError(w, http.StatusBadRequest, "ref: write kind/name, such as profile/halftime-notes")
			return
		}
		ref := topo.Ref{Kind: topo.Kind(kind), Name: name}
		out = append(out, ObjectVersion{Ref: ref, Version: s.config.Node.InForce(ref).Version})
	}
	writeJSON(w, out)
}

func (s *Server) wait(w http.ResponseWriter, r *http.Request) {
	var req WaitRequest
	if !readJSON(w, r, &req) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTime(req))
	defer cancel()
	writeJSON(w, req.await(ctx, s.config.VM, s.config.Node))
}

func waitTime(r WaitRequest) time.Duration {
	return min(max(time.Duration(r.WaitMillis)*time.Millisecond, 0), maxWait)
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	var q Query
	if !readJSON(w, r, &q) {
		return
	}
	e, err := s.config.Node.Explain(q)
	if err != nil {
		writeError(w, http.StatusUnprocessableEntity, err.Error())
		return
	}
	e.VM = s.config.VM
	writeJSON(w, e)
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	vms := s.config.Node.VMs()
	routers := queryAll(s, s.routers(vms), func(p peer) RouterStatus { return s.queryStatus(r.Context(), p) })
	writeJSON(w, FleetStatus{VM: s.config.VM, Routers: routers, VMs: vms})
}

func (s *Server) queryStatus(ctx context.Context, p peer) RouterStatus {
	if p.self {
		own := s.ownStatus(true)
		return RouterStatus{VM: p.vm.ID, Status: &own}
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var status Status
	err := s.peerClient(p).get(ctx, PathStatus, url.Values{"brief": {"1"}}, &status)
	if err != nil {
		return RouterStatus{VM: p.vm.ID, Error: err.Error()}
	}
	return RouterStatus{VM: p.vm.ID, Status: &status}
}

func (s *Server) fleetWait(w http.ResponseWriter, r *http.Request) {
	var req WaitRequest
	if !readJSON(w, r, &req) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), waitTime(req))
	defer cancel()
	writeJSON(w, FleetWait{VM: s.config.VM, Routers: s.awaitAll(ctx, req)})
}

// problem is the body of an error response.
type problem struct {
	Detail string `json:"detail"`
}

func writeError(w http.ResponseWriter, status int, detail string) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{Detail: detail})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(into); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not what is expected: "+err.Error())
		return false
	}
	return true
}
