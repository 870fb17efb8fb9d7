package secure

import (
	"container/list"
	"crypto/rand"
	"crypto/tls"
	"sync"
)

// ticketSize is the size of a session ticket in bytes, large enough that it can't be
// guessed.
const ticketSize = 16

// ticketStore stores a server's sessions, so that a ticket is only a random
// identifier. The tickets of crypto/tls contain the whole session with the client's
// certificates and are sent twice on each resumption. Routers reconnect to thousands
// of sidecars, so these bytes count.
//
// Sessions are lost when the process exits and become unusable when the files
// change; the next connection then starts with a full handshake.
type ticketStore struct {
	currentCredentials func() *credentials
	mu                 sync.Mutex
	limit              int
	byTicket           map[[ticketSize]byte]*list.Element
	order              *list.List // of *storedSession, oldest first
}

type storedSession struct {
	ticket      [ticketSize]byte
	credentials *credentials
	state       *tls.SessionState
}

func newTicketStore(limit int, currentCredentials func() *credentials) *ticketStore {
	return &ticketStore{currentCredentials: currentCredentials, limit: limit, byTicket: make(map[[ticketSize]byte]*list.Element), order: list.New()}
}

// install makes c store its sessions in s instead of in the tickets.
func (s *ticketStore) install(c *tls.Config) {
	c.WrapSession = s.wrap
	c.UnwrapSession = s.unwrap
}

// wrap implements tls.Config.WrapSession: it stores a session and returns its ticket.
// If the store is full, the oldest session is dropped.
func (s *ticketStore) wrap(_ tls.ConnectionState, state *tls.SessionState) ([]byte, error) {
	stored := &storedSession{credentials: s.currentCredentials(), state: state}
	rand.Read(stored.ticket[:]) // never fails, as crypto/rand documents
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byTicket[stored.ticket] = s.order.PushBack(stored)
	if s.order.Len() > s.limit {
		s.remove(s.order.Front())
	}
	return stored.ticket[:], nil
}

// unwrap implements tls.Config.UnwrapSession: it returns the session of a ticket and
// removes it. A client that resumes gets a new ticket, so a used one cannot be
// replayed. Without a session that matches the current files it returns nil, and
// crypto/tls runs a full handshake.
func (s *ticketStore) unwrap(identity []byte, _ tls.ConnectionState) (*tls.SessionState, error) {
	if len(identity) != ticketSize {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	elem := s.byTicket[[ticketSize]byte(identity)]
	if elem == nil {
		return nil, nil
	}
	s.remove(elem)
	stored := elem.Value.(*storedSession)
	if stored.credentials != s.currentCredentials() {
		return nil, nil
	}
	return stored.state, nil
}

// remove removes a session. The caller holds s.mu.
func (s *ticketStore) remove(elem *list.Element) {
	s.order.Remove(elem)
	delete(s.byTicket, elem.Value.(*storedSession).ticket)
}
