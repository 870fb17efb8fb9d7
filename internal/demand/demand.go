// Package demand holds what callers offer to a pool, by organisation and kind of request, at all
// routers together.
//
// It answers a surge in which organisations compete for a pool that is too small: no router sees
// more than its part of an organisation's requests, so routers tell each other what they are
// offered, in messages of bounded size, while one of them sees the pool as scarce.
package demand

import "time"

// Class identifies the requests of one organisation that are admitted alike in a short pool.
type Class struct {
	Org         uint32 // hash of the organisation's name
	OrgPriority uint8  // 0 is the highest, 9 the lowest
	Rank        uint8  // of the kind of request: 0 is the most urgent, 9 the least
	Returning   bool   // the caller was told when to retry and does so
	Weight      uint16 // of the organisation, 1 to 1,000; 0 counts as 1
}

// Rate is the work that is offered in a class.
type Rate struct {
	Class
	Orgs    int     // number of organisations: 1 if Class names one; then Class.Org is set
	Offered float64 // work per second
}

// Totals is the demand at all routers with current reports, and the results of their attempts at
// upstreams.
type Totals struct {
	Rates    []Rate
	Accepted float64 // attempts per second that upstreams accepted
	Rejected float64 // attempts per second that upstreams rejected
	Complete bool    // the totals cover all routers, not only this one and its subscribers
	// ReceivedAt is when the rates of the other routers were received. Until the next summary they stay the same,
	// whatever happens meanwhile. Zero: the rates are the present ones.
	ReceivedAt time.Time
}
