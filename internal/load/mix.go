package load

import "time"

// urgencyLevels are told apart, from 0 on.
const urgencyLevels = 10

// UrgencyMix is how urgent the requests are of which one router awaits the first byte. Each
// router's are a sample of those that wait at the engines of the pool, which take what is
// more urgent first: of what waits at one, only that part goes before a request. The zero
// value is ready to use. A UrgencyMix is not safe for concurrent use.
type UrgencyMix struct {
	waiting    [urgencyLevels]int
	objectives [urgencyLevels]time.Duration
}

// SetObjective takes in within which objective the first byte of a request is wanted.
func (m *UrgencyMix) SetObjective(urgency int, objective time.Duration) {
	m.objectives[clampUrgency(urgency)] = objective
}

// AddWaiting counts a request that waits for its first byte.
func (m *UrgencyMix) AddWaiting(urgency int) { m.waiting[clampUrgency(urgency)]++ }

// RemoveWaiting counts the first byte of a request that Sent has counted, or its end without one.
func (m *UrgencyMix) RemoveWaiting(urgency int) { m.waiting[clampUrgency(urgency)]-- }

func clampUrgency(urgency int) int { return min(max(urgency, 0), urgencyLevels-1) }

// ShortestObjective returns the shortest objective of the pool's requests; zero: none has one.
func (m *UrgencyMix) ShortestObjective() time.Duration {
	shortest := time.Duration(0)
	for _, d := range m.objectives {
		if d > 0 && (shortest == 0 || d < shortest) {
			shortest = d
		}
	}
	return shortest
}

// FractionAhead returns the part of the requests that wait which are as urgent as one of an
// urgency, or more.
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
