package standin

import (
	"encoding/json"
	"net/http"
)

// SessionHeader carries the session ID. Cached prefixes are exported by session.
const SessionHeader = "X-Session-Id"

// exportCache writes the prefixes of a session that are still cached, or 404 if there
// are none.
func (e *Engine) exportCache(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var cached []string
	for _, prefix := range e.sessions[r.URL.Query().Get("session")] {
		if e.isCached(prefix) {
			cached = append(cached, prefix)
		}
	}
	if len(cached) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, cached)
}

// importCache caches a session's prefixes that another engine has exported.
func (e *Engine) importCache(w http.ResponseWriter, r *http.Request) {
	var prefixes []string
	if err := json.NewDecoder(r.Body).Decode(&prefixes); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, prefix := range prefixes {
		e.touch(prefix)
	}
	e.sessions[r.URL.Query().Get("session")] = prefixes
}

// isCached reports whether prefix is cached. It needs e.mu held.
func (e *Engine) isCached(prefix string) bool {
	for _, p := range e.cache {
		if p == prefix {
			return true
		}
	}
	return false
}
