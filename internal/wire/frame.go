package wire

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// frameKind tells what a frame holds.
type frameKind byte

// Kinds of frame. All but kindRPC hold CBOR.
const (
	kindRPC frameKind = iota + 1 // a JSON-RPC call or reply
	kindSubmit
	kindSubmitReply
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

	maxHead      = 1 << 20
	maxEnd       = 64 << 10
	maxSmall     = 64
	maxUnknown   = 64 << 10
	cborOverhead = 64 // what CBOR adds to a run of bytes
)

var maxContentSize = [kindCount]int{
	kindRPC:         MaxMessage,
	kindSubmit:      MaxBody + maxHead,
	kindSubmitReply: maxEnd,
	kindHead:        maxHead,
	kindData:        MaxData + cborOverhead,
	kindEnd:         maxEnd,
	kindCredit:      maxSmall,
	kindDetach:      maxSmall,
	kindPing:        maxSmall,
	kindPong:        maxSmall,
}

// frameLabels names the kinds that are no calls, for the counters.
var frameLabels = [kindCount]Method{
	kindSubmit:      MethodSubmit,
	kindSubmitReply: "admitted",
	kindHead:        "head",
	kindData:        "data",
	kindEnd:         "end",
	kindCredit:      "credit",
	kindDetach:      "detach",
	kindPing:        "ping",
	kindPong:        "pong",
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
	kind() frameKind
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

// submitReply is the reply to the Submit of a stream.
type submitReply struct {
	Stream    StreamID       `cbor:"1,keyasint"`
	Admission Admission      `cbor:"2,keyasint"`
	Error     *verdict.Error `cbor:"3,keyasint,omitempty"` // instead of an Admission
}

type ping struct{}
type pong struct{}

func (Head) kind() frameKind        { return kindHead }
func (Data) kind() frameKind        { return kindData }
func (End) kind() frameKind         { return kindEnd }
func (Credit) kind() frameKind      { return kindCredit }
func (Detach) kind() frameKind      { return kindDetach }
func (Submit) kind() frameKind      { return kindSubmit }
func (submitReply) kind() frameKind { return kindSubmitReply }
func (ping) kind() frameKind        { return kindPing }
func (pong) kind() frameKind        { return kindPong }

// decodeFrame decodes the content of a frame. It returns nil for a kind that
// it does not know: a newer peer may send more than we understand.
func decodeFrame(k frameKind, content []byte) (Frame, error) {
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
	case kindSubmitReply:
		return decodeAs[submitReply](content)
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
