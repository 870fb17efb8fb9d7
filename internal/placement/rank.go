package placement

import "math"

// ranking orders a set of upstreams for each session by weighted rendezvous
// hashing: upstream i scores -weight/ln(u), with u drawn from (0, 1) by the
// hash of session and upstream. It needs no state and no agreement: routers
// with the same list agree, and a change of the list moves only the sessions of
// the upstream that came or went.
type ranking struct {
	members []Member
	index   []int // into members
	isNear  []bool
	equal   bool // all weights are the same, so that hashes can be compared
}

func newRanking(members []Member, index []int) ranking {
	r := ranking{members: members, index: index, isNear: make([]bool, len(members)), equal: true}
	for _, i := range index {
		r.isNear[i] = true
		if members[i].Weight != members[index[0]].Weight {
			r.equal = false
		}
	}
	return r
}

func (r *ranking) has(i int) bool {
	return i >= 0 && i < len(r.isNear) && r.isNear[i]
}

// domain splits the upstreams into those of a failure domain and the others.
func (r *ranking) domain(name string) (own, rest []int) {
	for _, i := range r.index {
		if r.members[i].Domain == name {
			own = append(own, i)
		} else {
			rest = append(rest, i)
		}
	}
	return own, rest
}

// top writes the upstreams with the highest scores for session to best, the
// highest first, and returns how many there are.
func (r *ranking) top(session uint64, best []int) int {
	var scores [depth]float64
	n := 0
	for _, i := range r.index {
		score := r.score(session, i)
		if n == len(best) && score <= scores[n-1] {
			continue
		}
		if n < len(best) {
			n++
		}
		at := n - 1
		for at > 0 && scores[at-1] < score {
			scores[at], best[at] = scores[at-1], best[at-1]
			at--
		}
		scores[at], best[at] = score, i
	}
	return n
}

func (r *ranking) score(session uint64, i int) float64 {
	h := mix(session ^ r.members[i].Seed)
	u := (float64(h>>11) + 0.5) / (1 << 53)
	if r.equal {
		return u
	}
	return -float64(max(r.members[i].Weight, 1)) / math.Log(u)
}

// mix is the finaliser of SplitMix64: each bit of the input changes half of
// those of the output.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
