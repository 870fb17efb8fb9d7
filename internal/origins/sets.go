package origins

import (
	"maps"
	"slices"
	"time"
)

// Sets are sets of names by key, each sorted.
type Sets map[string][]string

// union returns the names that are in s or in other.
func (s Sets) union(other Sets) Sets {
	out := maps.Clone(s)
	if out == nil {
		out = make(Sets, len(other))
	}
	for key, names := range other {
		out[key] = SortedSet(slices.Concat(out[key], names))
	}
	return out
}

func (s Sets) equal(other Sets) bool { return maps.EqualFunc(s, other, slices.Equal) }

// SortedSet returns names sorted, each once. It changes the order of names.
func SortedSet(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}

// setHistory holds Sets as they are now, and when a name was in them last.
type setHistory struct {
	now    Sets
	former map[string]map[string]time.Time // when a name was in a set last, by key
}

// observe records what the Sets are from now on.
func (h *setHistory) observe(now time.Time, latest Sets) {
	h.recordFormer(now, h.now)
	h.now = latest
	h.expire(now)
}

// recordFormer records that names were in the Sets until now.
func (h *setHistory) recordFormer(now time.Time, sets Sets) {
	if h.former == nil {
		h.former = make(map[string]map[string]time.Time)
	}
	for key, names := range sets {
		if h.former[key] == nil {
			h.former[key] = make(map[string]time.Time)
		}
		for _, name := range names {
			h.former[key][name] = now
		}
	}
}

// expire drops the names that were in the Sets last before maxHistory.
func (h *setHistory) expire(now time.Time) {
	for key, names := range h.former {
		for name, at := range names {
			if now.Sub(at) > maxHistory {
				delete(names, name)
			}
		}
		if len(names) == 0 {
			delete(h.former, key)
		}
	}
}

// since returns the names that have been in the Sets since a time.
func (h *setHistory) since(from time.Time) Sets {
	former := make(Sets)
	for key, names := range h.former {
		for name, at := range names {
			if at.After(from) {
				former[key] = append(former[key], name)
			}
		}
	}
	return h.now.union(former)
}

// only returns the one name that has been in the set of a key since a time. It returns false if there were several, or
// if there is none now.
func (h *setHistory) only(key string, from time.Time) (string, bool) {
	if len(h.now[key]) != 1 {
		return "", false
	}
	only := h.now[key][0]
	for name, at := range h.former[key] {
		if name != only && at.After(from) {
			return "", false
		}
	}
	return only, true
}
