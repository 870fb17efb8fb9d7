package admin

// MaxMemoryParties bounds the parties that a Memory lists.
const MaxMemoryParties = 16

// Memory is what a router holds for callers. It is served at PathMemory.
type Memory struct {
	LimitBytes int64 `json:"limit_bytes"` // zero: unlimited
	HeldBytes  int64 `json:"held_bytes"`
	// Parties lists who holds most, the largest first, at most MaxMemoryParties.
	Parties     []MemoryParty `json:"parties"`
	Connections Connections   `json:"connections"`
}

// MemoryParty is what a router holds for the callers of an organisation.
type MemoryParty struct {
	Organisation string `json:"organisation"` // empty: callers that are not known, or not yet
	HeldBytes    int64  `json:"held_bytes"`
}

// Connections is how many connections of callers are open.
type Connections struct {
	Max  int            `json:"max"`
	Open map[string]int `json:"open"` // by what they do
}
