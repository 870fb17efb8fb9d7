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
	Origins   Origins    `cbor:"4,keyasint,omitempty"`
}

// Origins is a message about the streams of callers. State does not handle it.
type Origins []byte

// EncodeOrigins returns the datagram for a message about streams. It returns an error if it is longer than
// MaxMessageBytes.
func EncodeOrigins(o Origins) ([]byte, error) {
	return encode(message{Origins: o})
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
	return encode(m)
}

func encode(m message) ([]byte, error) {
	b, err := cbor.Marshal(m)
	if err == nil && len(b) > MaxMessageBytes {
		err = errors.Errorf("relay: message of %d bytes exceeds the limit of %d", len(b), MaxMessageBytes)
	}
	return b, errors.WithStack(err)
}

// ErrMalformed is returned for a datagram that is not a valid message.
var ErrMalformed = errors.New("relay: malformed message")

// Decode parses a datagram and returns a *Heartbeat, a *Subscribe, a *Report or Origins. Its
// error wraps ErrMalformed.
func Decode(b []byte) (any, error) {
	var m message
	if err := cbor.Unmarshal(b, &m); err != nil {
		return nil, errors.Wrap(ErrMalformed, err.Error())
	}
	var set []any
	if m.Heartbeat != nil {
		set = append(set, m.Heartbeat)
	}
	if m.Subscribe != nil {
		set = append(set, m.Subscribe)
	}
	if m.Report != nil {
		set = append(set, m.Report)
	}
	if m.Origins != nil {
		set = append(set, m.Origins)
	}
	if len(set) != 1 {
		return nil, errors.Wrapf(ErrMalformed, "%d fields are set", len(set))
	}
	return set[0], nil
}
