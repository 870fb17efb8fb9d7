package secure

import (
	"container/list"
	"crypto/rand"
	"crypto/tls"
	"sync"
)

// ticketSize is the length of a session ticket in bytes, enough that it can't
// be guessed.
const ticketSize = 16

// ticketStore keeps the sessions of a server, so that a ticket is no more than
// a name. The library's own tickets hold the whole session with the client's
// certificates, which travels twice on each resumption; routers come and go at
// thousands of sidecars, and count each byte that is no request.
//
// The sessions are lost with the process, and of no use once the files have
// changed; the next connection then begins with a full handshake.
type ticketStore struct {
	currentMaterial func() *material
	mu              sync.Mutex
	limit           int
	byTicket        map[[ticketSize]byte]*list.Element
	order           *list.List // of *storedSession, the oldest first
}

type storedSession struct {
	ticket   [ticketSize]byte
	material *material
	state    *tls.SessionState
}

func newTicketStore(limit int, currentMaterial func() *material) *ticketStore {
	return &ticketStore{currentMaterial: currentMaterial, limit: limit, byTicket: make(map[[ticketSize]byte]*list.Element), order: list.New()}
}

func (s *ticketStore) install(c *tls.Config) {
	c.WrapSession = s.wrap
	c.UnwrapSession = s.unwrap
}

func (s *ticketStore) wrap(_ tls.ConnectionState, state *tls.SessionState) ([]byte, error) {
	stored := &storedSession{material: s.currentMaterial(), state: state}
	rand.Read(stored.ticket[:]) // never fails, as crypto/rand documents
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byTicket[stored.ticket] = s.order.PushBack(stored)
	if s.order.Len() > s.limit {
		s.remove(s.order.Front())
	}
	return stored.ticket[:], nil
}

// unwrap hands out a session once. A client that resumes gets a new ticket, so
// the one that it used is of no further use to anyone else.
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
	if stored.material != s.currentMaterial() {
		return nil, nil
	}
	return stored.state, nil
}

// remove needs s.mu held.
func (s *ticketStore) remove(elem *list.Element) {
	s.order.Remove(elem)
	delete(s.byTicket, elem.Value.(*storedSession).ticket)
}
