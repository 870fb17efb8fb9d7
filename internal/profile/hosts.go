package profile

import "strings"

// Hosts maps the host of a call, as HostName returns it, and then the prefix of its path to the
// profile.
type Hosts map[string]map[string]*Profile

// ByHost returns the profiles that are chosen by host.
func ByHost(profiles map[string]*Profile) Hosts {
	out := make(Hosts)
	for _, p := range profiles {
		for _, r := range p.Routes {
			if r.Host == "" {
				continue
			}
			host := strings.ToLower(r.Host) // a route names no port
			if out[host] == nil {
				out[host] = make(map[string]*Profile)
			}
			out[host][r.Prefix] = p
		}
	}
	return out
}

// HostName returns the host that a caller has named, without a port and in lower case.
func HostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// Find returns the profile for a call to a host and path: the one with the longest
// matching prefix, or else the one without a prefix. It returns nil if there is none.
// Only prefixes that end with a slash are found. A port in host is ignored.
func (h Hosts) Find(host, path string) *Profile {
	prefixes := h[HostName(host)]
	if prefixes == nil {
		return nil
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if p := prefixes[path[:end+1]]; p != nil {
			return p
		}
	}
	return prefixes[""]
}
