package sidecar

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/quarantine"
)

// maxCachedPrefixes limits the sessions whose cached prefixes are known and exported. It
// is twice an upstream's share of 6.3 million chats over 2,900 upstreams.
const maxCachedPrefixes = 4096

// cachedPrefix describes the prefix that the upstream has cached for a session: the prompt
// of the session's newest request.
type cachedPrefix struct {
	fingerprint quarantine.Fingerprint // of the newest request; zero: not known
	// complete reports whether a request with that fingerprint has run to its end, here
	// or at the upstream from which the prefix was imported. Until then it may be one
	// that crashes each upstream that reads it.
	complete        bool
	incompleteSince time.Time // start of the request since which the prefix is not complete
	lastUse         uint64    // sequence number
}

// cachedPrefixes holds the cached prefixes of the most recently served sessions.
type cachedPrefixes struct {
	seq       uint64
	bySession map[uint64]*cachedPrefix
}

// touch returns the cached prefix of a session, now the most recently used one, and adds
// it if necessary. It returns nil for a request without a session.
func (c *cachedPrefixes) touch(session uint64) *cachedPrefix {
	if session == 0 {
		return nil
	}
	if c.bySession == nil {
		c.bySession = make(map[uint64]*cachedPrefix)
	}
	p := c.bySession[session]
	if p == nil {
		p = &cachedPrefix{}
		c.bySession[session] = p
	}
	c.seq++
	p.lastUse = c.seq
	if len(c.bySession) >= 2*maxCachedPrefixes {
		c.trim()
	}
	return p
}

// begin records the start of a request of a session.
func (c *cachedPrefixes) begin(now time.Time, session uint64, fp quarantine.Fingerprint) {
	p := c.touch(session)
	if p == nil || p.complete && p.fingerprint == fp {
		return
	}
	*p = cachedPrefix{fingerprint: fp, incompleteSince: now, lastUse: p.lastUse}
}

// finish records that a request of a session has run to its end. It returns the cached
// prefix if that completes it, else nil.
func (c *cachedPrefixes) finish(session uint64, fp quarantine.Fingerprint) *cachedPrefix {
	p := c.bySession[session]
	if p == nil || p.complete || p.fingerprint != fp {
		return nil
	}
	p.complete = true
	return p
}

// imported records the prefix of a session that another sidecar has transferred.
func (c *cachedPrefixes) imported(session uint64, fp quarantine.Fingerprint) {
	if p := c.touch(session); p != nil {
		*p = cachedPrefix{fingerprint: fp, complete: true, lastUse: p.lastUse}
	}
}

// trim drops all but the most recent sessions.
func (c *cachedPrefixes) trim() {
	for _, session := range c.byRecency()[maxCachedPrefixes:] {
		delete(c.bySession, session)
	}
}

// mostRecent returns up to maxCachedPrefixes sessions for whose prefix include returns
// true, most recent first.
func (c *cachedPrefixes) mostRecent(include func(*cachedPrefix) bool) []uint64 {
	sessions := slices.DeleteFunc(c.byRecency(), func(session uint64) bool { return !include(c.bySession[session]) })
	return sessions[:min(len(sessions), maxCachedPrefixes)]
}

func (c *cachedPrefixes) byRecency() []uint64 {
	all := slices.Collect(maps.Keys(c.bySession))
	slices.SortFunc(all, func(x, y uint64) int { return cmp.Compare(c.bySession[y].lastUse, c.bySession[x].lastUse) })
	return all
}
