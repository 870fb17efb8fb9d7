package load

import "time"

// urgencyLevels is the number of urgency levels, numbered from 0, the most urgent.
const urgencyLevels = 10

// UrgencyMix counts, by urgency, the requests of one router that have no first byte of their answer
// yet. They are a sample of the requests that wait at the pool's engines. Engines serve more urgent
// requests first, so only a fraction of the requests that wait at an engine are ahead of a new one.
// UrgencyMix also holds the objective of each urgency. The zero value is ready to use. A UrgencyMix
// is not safe for concurrent use.
type UrgencyMix struct {
	waiting    [urgencyLevels]int
	objectives [urgencyLevels]time.Duration // for the time to the first byte; zero: none
}

// SetObjective records the objective for the time to the first byte of requests of an urgency; zero
// means none.
func (m *UrgencyMix) SetObjective(urgency int, objective time.Duration) {
	m.objectives[clampUrgency(urgency)] = objective
}

// AddWaiting counts a request that waits for its first byte.
func (m *UrgencyMix) AddWaiting(urgency int) { m.waiting[clampUrgency(urgency)]++ }

// RemoveWaiting removes a request counted by AddWaiting once its first byte has arrived or it has
// ended without one.
func (m *UrgencyMix) RemoveWaiting(urgency int) { m.waiting[clampUrgency(urgency)]-- }

func clampUrgency(urgency int) int { return min(max(urgency, 0), urgencyLevels-1) }

// ShortestObjective returns the shortest objective of all urgencies, or zero if none has one.
func (m *UrgencyMix) ShortestObjective() time.Duration {
	shortest := time.Duration(0)
	for _, d := range m.objectives {
		if d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// FractionAhead returns the fraction of the waiting requests that are at least as urgent as a new
// request of the given urgency. The new request is counted as one of them.
func (m *UrgencyMix) FractionAhead(urgency int) float64 {
	ahead, all := 0, 0
	for i, n := range m.waiting {
		all += n
		if i <= urgency {
			ahead += n
		}
	}
	return float64(ahead+1) / float64(all+1)
}
