package wire

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	// headerSize is the size in bytes of a frame's header: the content's length, its
	// kind and the frame's sequence number.
	headerSize = 4 + 1 + 4

	readBufferSize = 4 << 10

	// readChunk is the initial size in bytes of the buffer for a frame's content. It
	// grows as bytes arrive, so a false length in a header allocates little memory.
	readChunk = 64 << 10

	// writeChunk is the number of bytes written under one deadline.
	writeChunk = 256 << 10

	// maxPooledBuffer is the capacity in bytes up to which a buffer is reused.
	maxPooledBuffer = 64 << 10
)

// Errors that end a connection.
var (
	// ErrTooLarge means that a frame exceeds the size limit of its kind.
	ErrTooLarge = errors.New("wire: frame too large")
	// ErrGap means that a frame's number does not follow that of the previous frame.
	ErrGap = errors.New("wire: frames are missing")
)

// transport sends and receives frames over a connection. It implements
// jsonrpc2.ObjectStream for calls and replies and passes other frames to onFrame,
// in order of arrival and in the same goroutine.
//
// Frames are numbered. TCP preserves their order, but a proxy between the two ends
// may not. A repeated frame is dropped, so that a call is not served twice; a
// missing one ends the connection, so that no side waits for a response or credit
// that never arrives.
type transport struct {
	conn         net.Conn
	in           *bufio.Reader
	onFrame      func(Frame)
	onClose      func()
	onFirstFrame func() // nil: nothing is to be done
	maxContent   int    // of a frame, in bytes, if that is less than the limit of its kind; zero: that limit
	writeTimeout time.Duration
	received     uint32       // number of frames
	lastRead     atomic.Int64 // Unix nanoseconds
	lastSize     int          // bytes of the last frame that was read
	nextMethod   Method       // of the call or reply that is written next, for the counters
	replyMethod  Method       // of the call whose reply is written next

	mu   sync.Mutex // held while a frame is written
	sent uint32     // number of frames
}

func newTransport(c net.Conn, writeTimeout time.Duration) *transport {
	t := &transport{conn: c, in: bufio.NewReaderSize(c, readBufferSize), writeTimeout: writeTimeout}
	t.lastRead.Store(time.Now().UnixNano())
	return t
}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// writeFrame writes a frame with CBOR content.
func (t *transport) writeFrame(f Frame) error {
	return t.write(f.kind(), func(b *bytes.Buffer) error { return cbor.MarshalToBuffer(f, b) })
}

// WriteObject implements jsonrpc2.ObjectStream.
func (t *transport) WriteObject(obj any) error {
	return t.write(kindRPC, func(b *bytes.Buffer) error { return json.NewEncoder(b).Encode(obj) })
}

// write sends one frame. If it can't be encoded or exceeds its size limit, nothing
// is sent and the connection remains usable. If writing fails, the peer has received
// at most an unusable part of the frame, and the connection is closed.
func (t *transport) write(k frameKind, encode func(*bytes.Buffer) error) error {
	b := buffers.Get().(*bytes.Buffer)
	defer releaseBuffer(b)
	b.Reset()
	b.Write(make([]byte, headerSize))
	if err := encode(b); err != nil {
		return errors.WithStack(err)
	}
	frame := b.Bytes()
	content := len(frame) - headerSize
	if content > maxContentSize[k] {
		return ErrTooLarge
	}
	binary.BigEndian.PutUint32(frame, uint32(content))
	frame[4] = byte(k)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	binary.BigEndian.PutUint32(frame[5:], t.sent)
	if err := t.writeAll(frame); err != nil {
		_ = closeNow(t.conn)
		return err
	}
	countFrame(t.label(k), len(frame))
	return nil
}

// label returns the metric label of a frame that is written.
func (t *transport) label(k frameKind) Method {
	if k == kindRPC {
		return t.nextMethod
	}
	return frameLabels[k]
}

func releaseBuffer(b *bytes.Buffer) {
	if b.Cap() <= maxPooledBuffer {
		buffers.Put(b)
	}
}

// writeAll writes b. The deadlines protect against a peer that has stopped reading,
// which would block all users of the connection for ever.
func (t *transport) writeAll(b []byte) error {
	for len(b) > 0 {
		if err := t.conn.SetWriteDeadline(time.Now().Add(t.writeTimeout)); err != nil {
			return errors.WithStack(err)
		}
		n, err := t.conn.Write(b[:min(len(b), writeChunk)])
		if err != nil {
			return errors.WithStack(err)
		}
		b = b[n:]
	}
	return nil
}

// ReadObject implements jsonrpc2.ObjectStream.
func (t *transport) ReadObject(v any) error {
	for {
		k, content, err := t.nextFrame()
		if err != nil {
			return err
		}
		if k == kindRPC {
			return countProtocolError(json.Unmarshal(content, v))
		}
		f, err := decodeFrame(k, content)
		if err != nil {
			return countProtocolError(err)
		}
		if f != nil {
			countFrame(frameLabels[k], t.lastSize)
			t.onFrame(f)
		}
	}
}

func countProtocolError(err error) error {
	if err != nil {
		protocolErrors.Inc()
	}
	return errors.WithStack(err)
}

// nextFrame reads the next frame and skips repeated ones. It returns ErrGap if a frame is missing.
func (t *transport) nextFrame() (frameKind, []byte, error) {
	for {
		h, content, err := readFrame(t.in, t.maxContent)
		if err != nil {
			return 0, nil, err
		}
		if t.received == 0 && t.onFirstFrame != nil {
			t.onFirstFrame()
		}
		switch ahead := int32(h.number - t.received); {
		case ahead <= 0:
			duplicateFrames.Inc()
		case ahead > 1:
			gaps.Inc()
			return 0, nil, ErrGap
		default:
			t.received++
			t.lastSize = headerSize + len(content)
			t.lastRead.Store(time.Now().UnixNano())
			return h.kind, content, nil
		}
	}
}

// Close implements jsonrpc2.ObjectStream.
func (t *transport) Close() error {
	err := closeNow(t.conn)
	if t.onClose != nil {
		t.onClose()
	}
	return err
}

// closeNow closes c without TLS's close_notify alert, whose write can block on a peer
// that does not read. The alert is not needed: an End shows that a response is
// complete.
func closeNow(c net.Conn) error {
	return unwrapConn(c).Close()
}

// unwrapConn returns the innermost connection below wrappers such as TLS.
func unwrapConn(c net.Conn) net.Conn {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return c
		}
		c = wrapped.NetConn()
	}
}

type header struct {
	length int
	kind   frameKind
	number uint32
}

// readFrame reads the header and the content of one frame, of at most maxContent bytes if that is not zero.
func readFrame(r io.Reader, maxContent int) (header, []byte, error) {
	var b [headerSize]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return header{}, nil, err
	}
	h := header{
		length: int(binary.BigEndian.Uint32(b[:])),
		kind:   frameKind(b[4]),
		number: binary.BigEndian.Uint32(b[5:]),
	}
	if h.length > contentLimit(h.kind) || maxContent > 0 && h.length > maxContent {
		return header{}, nil, countProtocolError(ErrTooLarge)
	}
	content, err := readContent(r, h.length)
	return h, content, err
}

// contentLimit returns the size limit of the content of a kind, in bytes. Unknown
// kinds, which a newer peer may send, have a limit as well.
func contentLimit(k frameKind) int {
	if k >= kindCount || maxContentSize[k] == 0 {
		return maxUnknown
	}
	return maxContentSize[k]
}

func readContent(r io.Reader, length int) ([]byte, error) {
	content := make([]byte, min(length, readChunk))
	for received := 0; ; {
		if _, err := io.ReadFull(r, content[received:]); err != nil {
			return nil, unexpectedEOF(err)
		}
		received = len(content)
		if received == length {
			return content, nil
		}
		larger := make([]byte, min(length, 2*received))
		copy(larger, content)
		content = larger
	}
}

// unexpectedEOF converts io.EOF, which within a frame is unexpected, to io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
