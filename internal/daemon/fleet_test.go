package daemon

import (
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"github.com/pkg/errors"
)

// failingListener is a listener that fails for want of files before it accepts.
type failingListener struct {
	net.Listener
	failures []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.failures) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.failures[0]
	l.failures = l.failures[1:]
	return nil, &net.OpError{Op: "accept", Err: err}
}

// A surge takes a sidecar's last open files for a moment. It must be there for
// routers when the surge is over: a loop that ends with the first failed accept
// leaves an upstream that runs, looks well, and gets no work until morning.
func TestListenerRetriesAfterDescriptorExhaustion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		before := acceptFailures.Value()
		l := retryingListener{&failingListener{failures: []error{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED}}}
		if _, err := l.Accept(); err != nil {
			t.Error(err)
		}
		if got := acceptFailures.Value() - before; got != 3 {
			t.Errorf("%d failures counted, want 3", got)
		}
		closed := retryingListener{&failingListener{failures: []error{net.ErrClosed}}}
		if _, err := closed.Accept(); !errors.Is(err, net.ErrClosed) {
			t.Errorf("a closed listener: %v", err)
		}
	})
}
