package origins

import (
	"encoding/binary"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// Message is a message between routers about the origins of streams.
type Message struct {
	Records []Record // for the receiver to keep
	Kept    []Record // for the receiver to keep, and to have written to the store
	Asked   []Stream // of which the receiver is to answer what it knows
	Answers []Record // to what the receiver has asked; Unknown for streams that are not known
	// WantsReply asks for a reply, which shows that the receiver is up.
	WantsReply bool
}

// MaxRecords is the number of records that fit into one message.
const MaxRecords = 80

// Sizes of encoded values, in bytes.
const (
	streamBytes = 8
	recordBytes = streamBytes + 4 + 1 // with the version and the TTL in seconds
)

// encoded is the wire form of a Message.
type encoded struct {
	Records    []byte `cbor:"1,keyasint,omitempty"`
	Asked      []byte `cbor:"2,keyasint,omitempty"`
	Answers    []byte `cbor:"3,keyasint,omitempty"`
	WantsReply bool   `cbor:"4,keyasint,omitempty"`
	Kept       []byte `cbor:"5,keyasint,omitempty"`
}

// Encode returns the wire form of a message.
func (m Message) Encode() ([]byte, error) {
	e := encoded{Records: encodeRecords(m.Records), Answers: encodeRecords(m.Answers), WantsReply: m.WantsReply, Kept: encodeRecords(m.Kept)}
	for _, s := range m.Asked {
		e.Asked = binary.BigEndian.AppendUint64(e.Asked, uint64(s))
	}
	b, err := cbor.Marshal(e)
	return b, errors.WithStack(err)
}

func encodeRecords(records []Record) []byte {
	var b []byte
	for _, r := range records {
		b = binary.BigEndian.AppendUint64(b, uint64(r.Stream))
		b = binary.BigEndian.AppendUint32(b, uint32(r.Version))
		b = append(b, byte(min(r.TTL+time.Second-1, MaxTTL)/time.Second))
	}
	return b
}

// ErrMalformed is returned for bytes that are not a message.
var ErrMalformed = errors.New("origins: malformed message")

// Decode parses a message. Its error wraps ErrMalformed.
func Decode(b []byte) (Message, error) {
	var e encoded
	if err := cbor.Unmarshal(b, &e); err != nil {
		return Message{}, errors.Wrap(ErrMalformed, err.Error())
	}
	if len(e.Records)%recordBytes != 0 || len(e.Answers)%recordBytes != 0 || len(e.Kept)%recordBytes != 0 || len(e.Asked)%streamBytes != 0 {
		return Message{}, errors.Wrapf(ErrMalformed, "%d, %d, %d and %d bytes", len(e.Records), len(e.Asked), len(e.Answers), len(e.Kept))
	}
	m := Message{Records: decodeRecords(e.Records), Answers: decodeRecords(e.Answers), WantsReply: e.WantsReply, Kept: decodeRecords(e.Kept)}
	for b := e.Asked; len(b) > 0; b = b[streamBytes:] {
		m.Asked = append(m.Asked, Stream(binary.BigEndian.Uint64(b)))
	}
	return m, nil
}

func decodeRecords(b []byte) []Record {
	var out []Record
	for ; len(b) > 0; b = b[recordBytes:] {
		out = append(out, Record{
			Stream:  Stream(binary.BigEndian.Uint64(b)),
			Version: Version(binary.BigEndian.Uint32(b[streamBytes:])),
			TTL:     time.Duration(b[recordBytes-1]) * time.Second,
		})
	}
	return out
}
