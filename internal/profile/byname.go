package profile

import (
	"slices"
	"strings"
)

// ByName is profiles by their names.
type ByName map[string]*Profile

// ForModel returns the profile by which org uses model: the named one, or the
// first of its profiles that serves the model.
func (s ByName) ForModel(org *Organisation, name, model string) *Profile {
	for _, allowed := range org.Profiles {
		p := s[allowed]
		if p != nil && p.Model == model && (name == "" || name == p.Name) {
			return p
		}
	}
	return nil
}

// ForService returns the profile by which org makes a call of a service. Among
// several the one with the longest matching route counts.
func (s ByName) ForService(org *Organisation, name, service, method, path string) *Profile {
	var best *Profile
	longest := -1
	for _, allowed := range org.Profiles {
		p := s[allowed]
		if p == nil || p.Service != service || (name != "" && name != p.Name) {
			continue
		}
		if n := matchRoutes(p.Routes, method, path); n > longest {
			best, longest = p, n
		}
	}
	return best
}

// matchRoutes returns the length of the longest matching prefix, or -1.
func matchRoutes(routes []Route, method, path string) int {
	if len(routes) == 0 {
		return 0
	}
	longest := -1
	for _, r := range routes {
		methodMatches := len(r.Methods) == 0 || slices.Contains(r.Methods, method)
		if methodMatches && strings.HasPrefix(path, r.Prefix) {
			longest = max(longest, len(r.Prefix))
		}
	}
	return longest
}
