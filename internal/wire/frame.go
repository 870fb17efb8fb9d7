package wire

import (
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleyfront/parsleyfront/internal/token"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// frameKind is the type of a frame's content.
type frameKind byte

// Frame kinds. All but kindRPC contain CBOR.
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
	kindCount // one more than the highest kind
)

// Limits of the content of a frame, in bytes. Longer content indicates a peer that
// is out of sync with the stream, faulty or hostile.
const (
	// MaxMessage is the size limit of a call or reply.
	MaxMessage = 16 << 20
	// MaxBody is the size limit of a request's body.
	MaxBody = 16 << 20
	// MaxData is the size limit of the response bytes in one Data frame.
	MaxData = 64 << 10

	maxHead      = 1 << 20  // also of a Submit without its body
	maxEnd       = 64 << 10 // also of a submitReply
	maxSmall     = 64       // of frames with a few numbers or nothing
	maxUnknown   = 64 << 10 // of kinds that this version does not know
	cborOverhead = 64       // upper bound of the bytes that CBOR adds to a byte string
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

// frameLabels holds the metric labels of the kinds that are not JSON-RPC.
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

// StreamID identifies a stream on one connection. Each Submit and each Attach has
// its own, so that frames of an earlier stream of the same response can be told
// from those of the current one.
type StreamID uint32

// Frame is a message that is encoded as CBOR instead of JSON-RPC. A Handler receives
// Head, Data, End, Credit and Detach frames; Submit, submitReply, ping and pong are
// handled by this package. Submits are not JSON-RPC calls because jsonrpc2 decodes
// and encodes a message several times, which was a quarter of the cost of a request
// at a router.
type Frame interface {
	kind() frameKind
}

// Head carries the status and header of a response.
type Head struct {
	Stream StreamID    `cbor:"1,keyasint"`
	Nonce  token.Nonce `cbor:"2,keyasint"` // of the request key
	Status int         `cbor:"3,keyasint"`
	Header http.Header `cbor:"4,keyasint,omitempty"`
}

// Data carries a part of a response's body.
type Data struct {
	Stream StreamID    `cbor:"1,keyasint"`
	Nonce  token.Nonce `cbor:"2,keyasint"`
	Offset int64       `cbor:"3,keyasint"`
	Bytes  []byte      `cbor:"4,keyasint"` // at most MaxData
}

// End marks the end of a response. Without an Error the response is complete.
type End struct {
	Stream  StreamID       `cbor:"1,keyasint"`
	Nonce   token.Nonce    `cbor:"2,keyasint"`
	Length  int64          `cbor:"3,keyasint"` // of the response in bytes
	Error   *verdict.Error `cbor:"4,keyasint,omitempty"`
	Control Control        `cbor:"5,keyasint"`
	Moved   *Key           `cbor:"6,keyasint,omitempty"` // with an Error: the key under which the request continues
}

// Credit allows a sidecar to send up to an offset.
type Credit struct {
	Stream StreamID `cbor:"1,keyasint"`
	UpTo   int64    `cbor:"2,keyasint"`
}

// Detach tells a sidecar to stop sending a stream.
type Detach struct {
	Stream StreamID `cbor:"1,keyasint"`
}

// submitReply is the reply to the Submit of a stream: the sidecar's decision, or the
// error that kept it from deciding.
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

// decodeFrame decodes the content of a frame. It returns nil for an unknown kind,
// which a newer peer may send.
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
