package relay

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// MaxMessageBytes bounds a message, in bytes: it travels as one datagram.
const MaxMessageBytes = 1400

// message is what travels between routers: exactly one field is set.
type message struct {
	Heartbeat *Heartbeat `cbor:"1,keyasint,omitempty"`
	Subscribe *Subscribe `cbor:"2,keyasint,omitempty"`
	Report    *Report    `cbor:"3,keyasint,omitempty"`
}

// Encode returns the message of a SendBeat, SendSubscribe or SendShare.
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
		return nil, errors.Errorf("relay: %T is no message", e)
	}
	b, err := cbor.Marshal(m)
	if err == nil && len(b) > MaxMessageBytes {
		err = errors.Errorf("relay: a message of %d bytes", len(b))
	}
	return b, errors.WithStack(err)
}

// ErrMalformed is a datagram that makes no sense.
var ErrMalformed = errors.New("relay: malformed message")

// Decode reads a message: a *Beat, a *Subscribe or a *Share.
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
