package load

import "time"

// historyLength is how long ago a report may have been made for which the router's own requests
// of that time are known.
const historyLength = maxSharedAge + time.Second

// ownHistory is how many requests of this router an upstream has had in the last historyLength.
type ownHistory []ownCount

// ownCount is a number of requests up to a time.
type ownCount struct {
	until time.Time
	own   int
}

// record records that the upstream has had own requests until now.
func (h *ownHistory) record(now time.Time, own int) {
	kept := *h
	for len(kept) > 0 && now.Sub(kept[0].until) > historyLength {
		kept = kept[1:]
	}
	if len(kept) < len(*h) {
		kept = append((*h)[:0], kept...)
	}
	*h = append(kept, ownCount{until: now, own: own})
}

// at returns the number of requests at a time; current is the present one.
func (h ownHistory) at(t time.Time, current int) int {
	for _, c := range h {
		if t.Before(c.until) {
			return c.own
		}
	}
	return current
}
