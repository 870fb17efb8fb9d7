package eventstream

import (
	"io"
	"mime"
	"net/http"

	"github.com/pkg/errors"
)

// MediaType is the content type of a stream of server-sent events.
const MediaType = "text/event-stream"

// ErrInEvent is the error of a stream whose connection ended within an event or before the first one.
var ErrInEvent = errors.New("eventstream: the connection ended within an event")

// IsStream reports whether headers announce a stream of server-sent events.
func IsStream(h http.Header) bool {
	mediaType, _, _ := mime.ParseMediaType(h.Get("Content-Type"))
	return mediaType == MediaType
}

// IsFramed reports whether a response marks the end of its body, by a length or by chunks.
// Otherwise the body ends with its connection.
func IsFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody
}

// Body returns the body of a response. If nothing but the end of the connection marks the end of a
// stream, an upstream that ends in the middle of it looks like one that has finished. So such a
// stream ends with ErrInEvent unless it ends after a whole event.
func Body(resp *http.Response) io.ReadCloser {
	if IsFramed(resp) || !IsStream(resp.Header) {
		return resp.Body
	}
	return &unframedBody{ReadCloser: resp.Body}
}

// unframedBody is the body of a stream that ends with its connection.
type unframedBody struct {
	io.ReadCloser
	position Position
}

// Read implements io.Reader.
func (u *unframedBody) Read(b []byte) (int, error) {
	n, err := u.ReadCloser.Read(b)
	u.position.Advance(b[:n])
	if err == io.EOF && !u.position.AfterEvent() {
		err = ErrInEvent
	}
	return n, err
}
