package profile

import (
	"slices"
	"strings"
)

// ByName maps names to profiles.
type ByName map[string]*Profile

// ForModel returns the first profile of org that serves model and, if name is not
// empty, has that name. It returns nil if there is none.
func (s ByName) ForModel(org *Organisation, name, model string) *Profile {
	for _, allowed := range org.Profiles {
		p := s[allowed]
		if p != nil && p.Model == model && (name == "" || name == p.Name) {
			return p
		}
	}
	return nil
}

// ForService returns the profile of org for a call of a service, restricted to the
// named profile if name is not empty. If several match, it returns the one with the
// longest matching route prefix; if none matches, nil.
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

// matchRoutes returns the length of the longest prefix among the routes that match:
// 0 if there are no routes, -1 if none matches.
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
