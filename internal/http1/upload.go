package http1

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// ErrUnfinished reports that a response has ended with its connection, and the request has not been written or received
// in time, so that the response can't be told from one that was broken off.
var ErrUnfinished = errors.New("http1: the response ended with its connection before the request")

// Upload is the writing of one request, which may go on while its response is read. It is safe for concurrent use.
type Upload struct {
	once  sync.Once
	ended chan struct{}
	bytes uint64 // of the request, valid once ended is closed
	err   error  // likewise
}

// NewUpload returns an Upload that has not ended.
func NewUpload() *Upload {
	return &Upload{ended: make(chan struct{})}
}

// End records that a request of so many bytes was written, or the error with which writing it ended. Further calls have no
// effect.
func (u *Upload) End(bytes uint64, err error) {
	u.once.Do(func() {
		u.bytes, u.err = bytes, err
		close(u.ended)
	})
}

// Succeeded reports whether the whole request has been written by now.
func (u *Upload) Succeeded() bool {
	select {
	case <-u.ended:
		return u.err == nil
	default:
		return false
	}
}

// wait returns the error with which the writing ended, or ErrUnfinished if it has not ended at the given time.
func (u *Upload) wait(until time.Time) error {
	select {
	case <-u.ended:
		return u.err
	default:
	}
	timeout := time.NewTimer(time.Until(until))
	defer timeout.Stop()
	select {
	case <-u.ended:
		return u.err
	case <-timeout.C:
		return ErrUnfinished
	}
}
