package router

import (
	"math/bits"
	"sync"

	"github.com/parsleyfront/parsleyfront/internal/token"
)

// maxLanes is how many callers can read one answer through one router.
const maxLanes = 32

// lanes tells apart the callers that read the same answer through this router,
// such as one that has sent its request again under the same key. The frames of
// an answer name it by its nonce only, so each further reader of an answer has
// a connection of its own to the sidecar.
type lanes struct {
	mu   sync.Mutex
	used map[token.Nonce]uint32 // a bit a lane
}

// lane is a place among the readers of one answer. The zero number is the
// connection that all answers of a sidecar share.
type lane struct {
	lanes  *lanes
	nonce  token.Nonce
	number int
	held   bool
}

// hold takes the lowest free lane for nonce.
func (l *lane) hold(nonce token.Nonce) {
	l.lanes.mu.Lock()
	defer l.lanes.mu.Unlock()
	used := l.lanes.used[nonce]
	n := min(bits.TrailingZeros32(^used), maxLanes-1)
	l.lanes.used[nonce] = used | 1<<n
	l.nonce, l.number, l.held = nonce, n, true
}

// release gives the lane back.
func (l *lane) release() {
	if !l.held {
		return
	}
	l.held = false
	l.lanes.mu.Lock()
	defer l.lanes.mu.Unlock()
	used := l.lanes.used[l.nonce] &^ (1 << l.number)
	if used == 0 {
		delete(l.lanes.used, l.nonce)
		return
	}
	l.lanes.used[l.nonce] = used
}
