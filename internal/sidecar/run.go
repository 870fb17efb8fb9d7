package sidecar

import (
	"context"
	"io"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// readSize is how much of an answer is read from the upstream at a time, in bytes.
const readSize = 8 << 10

// run makes the call of the upstream and collects the answer.
func (s *Sidecar) run(sub wire.Submit, a *answer) {
	err := s.collect(sub, a)
	if err == nil {
		a.finish(nil)
	} else {
		a.finish(verdict.From(err))
	}
	s.loop.Post(Ended{Now: time.Now(), Nonce: sub.Key.Nonce})
}

func (s *Sidecar) collect(sub wire.Submit, a *answer) error {
	ctx, cancel := deadline(s.ctx, sub.Treatment.Deadline)
	defer cancel()
	resp, err := s.config.Upstream.Do(ctx, sub.Key.Nonce.String(), sub.Call)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	a.setHead(resp.Status, resp.Header)
	buf := make([]byte, readSize)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			a.append(buf[:n])
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return verdict.New(verdict.Ran, verdict.ReasonUpstreamFailed, "the answer broke off: %s", err)
		}
	}
}

// deadline bounds ctx by d; zero is no bound.
func deadline(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if d <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, d)
}
