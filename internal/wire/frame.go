package wire

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// kind tells what a frame holds.
type kind byte

// Kinds of frame. All but kindRPC hold CBOR.
const (
	kindRPC kind = iota + 1 // a JSON-RPC call or reply
	kindSubmit
	kindAdmitted
	kindHead
	kindData
	kindEnd
	kindCredit
	kindDetach
	kindPing
	kindPong
	kindCount
)

// Limits of the content of a frame, in bytes. A longer one is a peer that has
// lost its place in the stream, or worse.
const (
	// MaxMessage is the largest call or reply.
	MaxMessage = 16 << 20
	// MaxBody is the largest body of a request.
	MaxBody = 16 << 20
	// MaxData is the largest piece of an answer.
	MaxData = 64 << 10

	maxHead    = 1 << 20
	maxEnd     = 64 << 10
	maxSmall   = 64
	maxUnknown = 64 << 10
	maxExtra   = 64 // what CBOR adds to a run of bytes
)

var maxSize = [kindCount]int{
	kindRPC:      MaxMessage,
	kindSubmit:   MaxBody + maxHead,
	kindAdmitted: maxEnd,
	kindHead:     maxHead,
	kindData:     MaxData + maxExtra,
	kindEnd:      maxEnd,
	kindCredit:   maxSmall,
	kindDetach:   maxSmall,
	kindPing:     maxSmall,
	kindPong:     maxSmall,
}

// labels names the kinds that are no calls, for the counters.
var labels = [kindCount]Method{
	kindSubmit:   MethodSubmit,
	kindAdmitted: "admitted",
	kindHead:     "head",
	kindData:     "data",
	kindEnd:      "end",
	kindCredit:   "credit",
	kindDetach:   "detach",
	kindPing:     "ping",
	kindPong:     "pong",
}

// StreamID numbers the readings of answers on one connection. Each Submit and
// each Attach has its own, so that what was sent for a former reading of the
// same answer is told from what belongs to the present one.
type StreamID uint32

// Frame is a Head, Data, End, Credit or Detach; within this package also a
// Submit and its reply. Those are no JSON-RPC call because jsonrpc2 decodes and
// encodes a message several times over, which was a quarter of what a request
// cost a router.
type Frame interface {
	kind() kind
}

// Head is the start of an answer.
type Head struct {
	Stream StreamID    `cbor:"1,keyasint"`
	Nonce  token.Nonce `cbor:"2,keyasint"` // of the request key
	Status int         `cbor:"3,keyasint"`
	Header http.Header `cbor:"4,keyasint,omitempty"`
}

// Data is a piece of an answer.
type Data struct {
	Stream StreamID    `cbor:"1,keyasint"`
	Nonce  token.Nonce `cbor:"2,keyasint"`
	Offset int64       `cbor:"3,keyasint"`
	Bytes  []byte      `cbor:"4,keyasint"` // at most MaxData
}

// End is the end of an answer. Without an Error the answer is whole.
type End struct {
	Stream  StreamID       `cbor:"1,keyasint"`
	Nonce   token.Nonce    `cbor:"2,keyasint"`
	Length  int64          `cbor:"3,keyasint"` // of the answer in bytes
	Error   *verdict.Error `cbor:"4,keyasint,omitempty"`
	Control Control        `cbor:"5,keyasint"`
	Moved   *Key           `cbor:"6,keyasint,omitempty"` // with an Error: the request goes on under this key
}

// Credit lets a sidecar send up to an offset.
type Credit struct {
	Stream StreamID `cbor:"1,keyasint"`
	UpTo   int64    `cbor:"2,keyasint"`
}

// Detach tells a sidecar to send no more of a stream.
type Detach struct {
	Stream StreamID `cbor:"1,keyasint"`
}

// admitted is the reply to the Submit of a stream.
type admitted struct {
	Stream    StreamID       `cbor:"1,keyasint"`
	Admission Admission      `cbor:"2,keyasint"`
	Error     *verdict.Error `cbor:"3,keyasint,omitempty"` // instead of an Admission
}

type ping struct{}
type pong struct{}

func (Head) kind() kind     { return kindHead }
func (Data) kind() kind     { return kindData }
func (End) kind() kind      { return kindEnd }
func (Credit) kind() kind   { return kindCredit }
func (Detach) kind() kind   { return kindDetach }
func (Submit) kind() kind   { return kindSubmit }
func (admitted) kind() kind { return kindAdmitted }
func (ping) kind() kind     { return kindPing }
func (pong) kind() kind     { return kindPong }

// decodeFrame decodes the content of a frame. It returns nil for a kind that
// it does not know: a newer peer may send more than we understand.
func decodeFrame(k kind, content []byte) (Frame, error) {
	switch k {
	case kindHead:
		return decodeAs[Head](content)
	case kindData:
		return decodeAs[Data](content)
	case kindEnd:
		return decodeAs[End](content)
	case kindCredit:
		return decodeAs[Credit](content)
	case kindDetach:
		return decodeAs[Detach](content)
	case kindSubmit:
		return decodeAs[Submit](content)
	case kindAdmitted:
		return decodeAs[admitted](content)
	case kindPing:
		return ping{}, nil
	case kindPong:
		return pong{}, nil
	}
	return nil, nil
}

func decodeAs[F Frame](content []byte) (Frame, error) {
	var f F
	if err := cbor.Unmarshal(content, &f); err != nil {
		return nil, err
	}
	return f, nil
}
