package placement

import (
	"time"

	"github.com/parsleyfront/parsleyfront/internal/load"
)

// depth is how far down a session's ranking an upstream with room is sought.
const depth = 16

// chooser collects the candidates of one request.
type chooser struct {
	pool     *Pool
	table    *load.Table
	now      time.Time
	multiple float64
	mean     float64
	known    int
	out      *[Candidates]int
	n        int
}

// offer adds upstream i unless it is believed to refuse.
func (c *chooser) offer(i int) {
	if c.n < Candidates && !c.has(i) && c.room(i) {
		c.out[c.n] = i
		c.n++
	}
}

// fill adds upstreams that are believed to be full, then those believed not to
// serve, where too few others are left: beliefs can be wrong, and the sidecar
// knows.
func (c *chooser) fill(order []int) {
	for _, serving := range [...]bool{true, false} {
		for _, i := range order {
			if c.n < Candidates && c.serves(i) == serving && !c.has(i) {
				c.out[c.n] = i
				c.n++
			}
		}
	}
}

func (c *chooser) serves(i int) bool {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	return !ok || r.State == load.Serving
}

func (c *chooser) has(i int) bool {
	for _, j := range c.out[:c.n] {
		if i == j {
			return true
		}
	}
	return false
}

// room reports whether upstream i is believed to take one more request.
func (c *chooser) room(i int) bool {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	if !ok {
		return true
	}
	if r.State != load.Serving {
		return false
	}
	return r.Load < load.Bound(c.mean, c.known, c.multiple, r.Weight)
}

// spread chooses for a request without a session: the less loaded of two
// random upstreams, those of the router's own failure domain before others.
func (c *chooser) spread(random uint64) {
	own, rest := c.pool.near.domain(c.pool.self.Domain)
	for _, group := range [...][]int{own, rest} {
		for len(group) > 0 && c.n < Candidates {
			i, j := pick(group, &random), pick(group, &random)
			if c.load(j) < c.load(i) {
				i, j = j, i
			}
			before := c.n
			c.offer(i)
			c.offer(j)
			if c.n == before {
				break
			}
		}
	}
	c.fill(c.pool.near.index)
}

// load returns the believed load of upstream i for each unit of its weight.
func (c *chooser) load(i int) float64 {
	r, ok := c.table.Get(c.now, c.pool.members[i].VM)
	if !ok {
		return c.mean
	}
	return float64(r.Load) / float64(r.Weight)
}

func pick(group []int, random *uint64) int {
	*random = mix(*random)
	return group[*random%uint64(len(group))]
}
