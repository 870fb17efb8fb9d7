package placement

import (
	"math"
	"slices"
)

// ranking orders a set of upstreams for each session by weighted rendezvous hashing. The hash of
// session and upstream gives each upstream a random number u in (0, 1), and the upstream with
// the smallest -ln(u)/weight ranks first. It needs no state and no coordination: routers with
// the same list compute the same order, and a change of the list moves only the sessions of the
// upstream that joined or left.
type ranking struct {
	index         []int     // indices of the upstreams in the caller's list
	seeds         []uint64  // in the order of index
	weightIndices []uint8   // for each upstream, its index into weights; nil if all weights are equal
	weights       []float64 // the distinct weights
}

// maxWeights is the maximum number of distinct weights in a ranking.
const maxWeights = math.MaxUint8

// newRanking returns the ranking of the members with the given indices.
func newRanking(members []Member, index []int) ranking {
	r := ranking{index: index, seeds: make([]uint64, len(index))}
	weightIndices := make([]uint8, len(index))
	for at, i := range index {
		r.seeds[at] = members[i].Seed
		weightIndices[at] = r.weightIndex(float64(max(members[i].Weight, 1)))
	}
	if len(r.weights) > 1 {
		r.weightIndices = weightIndices
	}
	return r
}

// weightIndex returns the index of a weight in r.weights and adds the weight if it is new. Once
// there are maxWeights weights, it returns the index of the nearest one.
func (r *ranking) weightIndex(weight float64) uint8 {
	if at := slices.Index(r.weights, weight); at >= 0 {
		return uint8(at)
	}
	if len(r.weights) < maxWeights {
		r.weights = append(r.weights, weight)
		return uint8(len(r.weights) - 1)
	}
	nearest := 0
	for at, w := range r.weights {
		if math.Abs(w-weight) < math.Abs(r.weights[nearest]-weight) {
			nearest = at
		}
	}
	return uint8(nearest)
}

// top writes the indices of the upstreams that rank highest for session to best, highest first,
// and returns their number. The length of best must be from 1 to maxRanked. With equal weights,
// the highest hash has the smallest -ln(u), so that no logarithm is needed.
func (r *ranking) top(session uint64, best []int) int {
	if r.weightIndices != nil {
		return r.topWeighted(session, best)
	}
	var scores [maxRanked]uint64
	n, threshold := 0, uint64(0) // threshold is the lowest score in best, zero until best is full
	for at, seed := range r.seeds {
		score := mix(session ^ seed)
		if score <= threshold {
			continue
		}
		n = min(n+1, len(best))
		pos := n - 1
		for pos > 0 && scores[pos-1] < score {
			scores[pos], best[pos] = scores[pos-1], best[pos-1]
			pos--
		}
		scores[pos], best[pos] = score, r.index[at]
		if n == len(best) {
			threshold = scores[n-1]
		}
	}
	return n
}

// topWeighted is top for upstreams of different weights. To save logarithms, it keeps for each
// weight the hash below which an upstream cannot be among the best.
func (r *ranking) topWeighted(session uint64, best []int) int {
	var costs [maxRanked]float64
	var thresholds [maxWeights]uint64
	n := 0
	for at, seed := range r.seeds {
		weightIndex := r.weightIndices[at]
		hash := mix(session ^ seed)
		if hash < thresholds[weightIndex] {
			continue
		}
		weight := r.weights[weightIndex]
		cost := -math.Log(toUnitInterval(hash)) / weight
		if n == len(best) && cost >= costs[n-1] {
			thresholds[weightIndex] = hashBelow(math.Exp(-costs[n-1] * weight))
			continue
		}
		n = min(n+1, len(best))
		pos := n - 1
		for pos > 0 && costs[pos-1] > cost {
			costs[pos], best[pos] = costs[pos-1], best[pos-1]
			pos--
		}
		costs[pos], best[pos] = cost, r.index[at]
	}
	return n
}

// toUnitInterval maps a hash to a number in (0, 1).
func toUnitInterval(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// hashBelow returns a hash that toUnitInterval maps to u or to a slightly smaller number.
func hashBelow(u float64) uint64 {
	return uint64(max(u*(1<<53)-1, 0)) << 11
}

// mix is the finaliser of SplitMix64: a change of any input bit flips each output bit with
// probability one half.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
