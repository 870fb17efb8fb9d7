package wire

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

// memoryConn is a net.Conn that reads from and writes to memory.
type memoryConn struct {
	net.Conn
	in  bytes.Reader
	out bytes.Buffer
}

func (m *memoryConn) Read(b []byte) (int, error)       { return m.in.Read(b) }
func (m *memoryConn) Write(b []byte) (int, error)      { return m.out.Write(b) }
func (m *memoryConn) SetWriteDeadline(time.Time) error { return nil }
func (m *memoryConn) Close() error                     { return nil }

var sampleFrames = []Frame{
	Head{Stream: 1, Status: 200, Header: http.Header{"A": {"b"}}},
	Data{Stream: 1, Offset: 7, Bytes: []byte("x")},
	End{Stream: 1, Length: 8, Error: verdict.New(verdict.Ran, verdict.ReasonCancelled, "d")},
	Credit{Stream: 1, UpTo: 9}, Detach{Stream: 1},
	Submit{Stream: 1, Session: 2, Policy: RequestPolicy{Deadline: 3}, Call: Call{Body: []byte("y")}, Control: Control{Suspects: json.RawMessage("{}")}}, submitReply{Stream: 1, Admission: Admission{Joined: true}}, ping{}, pong{},
}

// FuzzFrames reads arbitrary bytes from a connection. Reading must end with an
// error, and each frame read before that must survive encoding and decoding.
func FuzzFrames(f *testing.F) {
	all := &memoryConn{}
	w := newTransport(all, time.Second)
	for _, frame := range sampleFrames {
		_ = w.writeFrame(frame)
	}
	_ = w.WriteObject(map[string]string{"method": "hello"})
	f.Add(all.out.Bytes())
	f.Add(all.out.Bytes()[:20])
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 0, 0, 3, 99, 0, 0, 0, 1, 1, 2, 3})
	f.Fuzz(func(t *testing.T, content []byte) {
		m := &memoryConn{}
		m.in.Reset(content)
		r := newTransport(m, time.Second)
		r.onFrame = func(got Frame) {
			first, err := cbor.Marshal(got)
			if err != nil {
				t.Fatal(err)
			}
			again, err := decodeFrame(got.kind(), first)
			second, _ := cbor.Marshal(again)
			if err != nil || !bytes.Equal(first, second) {
				t.Errorf("%#v became %#v: %v", got, again, err)
			}
		}
		for {
			var v any
			if r.ReadObject(&v) != nil {
				return
			}
		}
	})
}

// FuzzMessages decodes arbitrary parameters and results of calls. What decodes must
// survive encoding and decoding.
func FuzzMessages(f *testing.F) {
	types := []any{
		Attach{}, Cancel{}, StatusRequest{}, Status{}, Hello{}, Admission{},
		Notice{}, ConfigSince{}, ConfigDelta{}, Report{}, Order{}, OrderStatus{},
	}
	for i, v := range types {
		seed, err := json.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), seed)
	}
	f.Add(uint8(1), []byte(`{"key":{"nonce":"00"},"offset":-1}`))
	f.Fuzz(func(t *testing.T, which uint8, content []byte) {
		messageType := reflect.TypeOf(types[int(which)%len(types)])
		v := reflect.New(messageType)
		if (Params{json: content}).Decode(v.Interface()) != nil {
			return
		}
		first, err := json.Marshal(v.Interface())
		if err != nil {
			t.Fatal(err)
		}
		again := reflect.New(messageType)
		_ = json.Unmarshal(first, again.Interface())
		if second, _ := json.Marshal(again.Interface()); !bytes.Equal(first, second) {
			t.Errorf("%s became %s", first, second)
		}
	})
}
