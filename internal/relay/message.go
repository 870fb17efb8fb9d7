package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes limits an encoded message, so that it fits into one datagram.
const MaxMessageBytes = 1400

// message is the wire form of a datagram between routers. Exactly one field is set.
type message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Subscribe *Subscribe `cbor:"2,keyasint,omitempty"`
	Report    *Report    `cbor:"3,keyasint,omitempty"`
}

// Encode returns the datagram for a SendHeartbeat, SendSubscribe or SendReport effect.
// It returns an error for any other effect and for a message longer than
// MaxMessageBytes.
func Encode(e Effect) ([]byte, error) {
	var m message
	switch e := e.(type) {
	case SendHeartbeat:
		m.Heartbeat = &e.Heartbeat
	case SendSubscribe:
		m.Subscribe = &e.Subscribe
	case SendReport:
		m.Report = &e.Report
	default:
		return nil, errors.Errorf("relay: %T cannot be encoded as a message", e)
	}
	b, err := cbor.Marshal(m)
	if err == nil && len(b) > MaxMessageBytes {
		err = errors.Errorf("relay: message of %d bytes exceeds the limit of %d", len(b), MaxMessageBytes)
	}
	return b, errors.WithStack(err)
}

// ErrMalformed is returned for a datagram that is not a valid message.
var ErrMalformed = errors.New("relay: malformed message")

// Decode parses a datagram and returns a *Heartbeat, a *Subscribe or a *Report. Its
// error wraps ErrMalformed.
func Decode(b []byte) (any, error) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	switch {
	case m.Heartbeat != nil && m.Subscribe == nil && m.Report == nil:
		return m.Heartbeat, nil
	case m.Subscribe != nil && m.Heartbeat == nil && m.Report == nil:
		return m.Subscribe, nil
	case m.Report != nil && m.Heartbeat == nil && m.Subscribe == nil:
		return m.Report, nil
	}
	return nil, ErrMalformed
}
