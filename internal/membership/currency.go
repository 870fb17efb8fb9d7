package membership

import "time"

// RestartDelay is how long after an upstream has ended its next incarnation may write its entry.
const RestartDelay = 5 * time.Second

// Currency says since when the list of upstreams is current. While no router reaches the store, the list shows
// upstreams as they were, and those that start again can't say so. The zero value has never been confirmed.
type Currency struct {
	// MaxAge is how long ago the store may have confirmed a list that counts as current.
	MaxAge time.Duration
	// Grace is how long after an outage entries that could not be written meanwhile may be missing.
	Grace time.Duration

	confirmedAt time.Time // when the store confirmed the list last
	outageFrom  time.Time // when it had confirmed the list before the latest outage
	outageTo    time.Time // when it confirmed the list after that; zero: there was none
}

// Confirm returns the Currency after the store has confirmed the list at a time, or, if that is zero, after it is no
// longer known when. Earlier times than one that is known change nothing.
func (c Currency) Confirm(at time.Time) Currency {
	if !at.IsZero() && !at.After(c.confirmedAt) {
		return c
	}
	if !at.IsZero() && at.Sub(c.confirmedAt) > c.MaxAge {
		c.outageFrom, c.outageTo = c.confirmedAt, at
	}
	c.confirmedAt = at
	return c
}

// IsCurrent reports whether the store has confirmed the list lately.
func (c Currency) IsCurrent(now time.Time) bool { return now.Sub(c.confirmedAt) <= c.MaxAge }

// MayNotShow reports whether an upstream that has ended at a time may have started again, and its new entry have come
// after the list was confirmed.
func (c Currency) MayNotShow(ended time.Time) bool {
	return ended.Add(RestartDelay).After(c.confirmedAt)
}

// MayLack is MayNotShow because of an outage of the store, which may last, or has just ended. Otherwise an upstream
// writes its entry before it gets requests.
func (c Currency) MayLack(now, ended time.Time) bool {
	written := ended.Add(RestartDelay)
	if !c.IsCurrent(now) {
		return written.After(c.confirmedAt)
	}
	return now.Sub(c.outageTo) < c.Grace && written.After(c.outageFrom)
}

// ShowsAll reports whether the list is current and no outage of the store has just ended, other than the time before the
// first confirmation: an upstream that has started again since is listed.
func (c Currency) ShowsAll(now time.Time) bool {
	return c.IsCurrent(now) && (c.outageFrom.IsZero() || now.Sub(c.outageTo) >= c.Grace)
}
