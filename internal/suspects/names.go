package suspects

import "github.com/parsleyfront/parsleyfront/internal/quarantine"

// maxPartNames bounds the parts of prompts whose names are kept for operators. All are dropped when there are more.
const maxPartNames = 1024

// partNames holds the names of the parts of prompts that requests were refused or held back for. Other routers
// send fingerprints only.
type partNames map[quarantine.Fingerprint]string

// NamePart records the name of a part of prompts.
func (r *Registry) NamePart(p quarantine.Fingerprint, name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.names == nil || len(r.names) >= maxPartNames {
		r.names = make(partNames)
	}
	r.names[p] = name
}

// PartName returns the name of a part of prompts; empty: not known.
func (r *Registry) PartName(p quarantine.Fingerprint) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.names[p]
}
