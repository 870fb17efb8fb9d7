package wire

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxFrame is the largest message in bytes that a node accepts. A longer
	// one is a peer that has lost its place in the stream, or worse.
	MaxFrame = 16 << 20

	lengthSize     = 4
	readBufferSize = 4 << 10

	// writeTimeout bounds a write to a peer that has stopped reading. Without
	// it a silent connection would hold every stream that shares it.
	writeTimeout = 3 * time.Second
)

// ErrFrameTooLarge is a message over MaxFrame.
var ErrFrameTooLarge = errors.New("wire: frame too large")

// frameStream carries JSON-RPC messages as length-prefixed JSON.
// It implements jsonrpc2.ObjectStream.
type frameStream struct {
	conn     net.Conn
	in       *bufio.Reader
	out      []byte // owned by the one writer that jsonrpc2 allows at a time
	lastRead atomic.Int64
	read     atomic.Int64
	written  atomic.Int64
}

func newFrameStream(c net.Conn) *frameStream {
	s := &frameStream{conn: c, in: bufio.NewReaderSize(c, readBufferSize)}
	s.lastRead.Store(time.Now().UnixNano())
	return s
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *frameStream) WriteObject(obj any) error {
	body, err := json.Marshal(obj)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(body) > MaxFrame {
		return ErrFrameTooLarge
	}
	s.out = binary.BigEndian.AppendUint32(s.out[:0], uint32(len(body)))
	s.out = append(s.out, body...)
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	n, err := s.conn.Write(s.out)
	s.written.Add(int64(n))
	if cap(s.out) > readBufferSize {
		s.out = nil
	}
	return errors.WithStack(err)
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *frameStream) ReadObject(v any) error {
	body, err := readFrame(s.in)
	if err != nil {
		return err
	}
	s.lastRead.Store(time.Now().UnixNano())
	s.read.Add(int64(lengthSize + len(body)))
	return json.Unmarshal(body, v)
}

// Close implements io.Closer.
func (s *frameStream) Close() error {
	return s.conn.Close()
}

// readFrame reads one length-prefixed message.
func readFrame(r io.Reader) ([]byte, error) {
	var prefix [lengthSize]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, err
	}
	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxFrame {
		return nil, ErrFrameTooLarge
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}
