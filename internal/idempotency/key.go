package idempotency

import "github.com/parsleyfront/parsleyfront/internal/token"

// Key is a request key as used between routers and sidecars: the content of the
// signed token without its signature.
type Key struct {
	VM          string      `json:"vm"`
	Incarnation uint64      `json:"inc"`
	Nonce       token.Nonce `json:"nonce"`
	Expires     int64       `json:"exp"` // Unix seconds
}
