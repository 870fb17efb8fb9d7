package gateway

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/budget"
	"github.com/parsleyfront/parsleyfront/internal/telemetry"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
)

const (
	// minBodyPiece and maxBodyPiece bound the pieces in bytes in which a body is received. Each is twice as large as
	// the one before, so that callers who send slowly hold little.
	minBodyPiece = 4 << 10
	maxBodyPiece = 16 << 10
	// bodyRetryAfter is when a caller may return whose body there was no memory for. Bodies are
	// held for as long as their requests, some seconds.
	bodyRetryAfter = time.Second
)

var (
	bodyBytes = telemetry.NewGauge("gateway_body_bytes",
		"Bytes of memory that the bodies of callers' requests take now, with 16 KiB for each request that is served.")
	bodyRefusals = telemetry.NewFamily[bodyRefusal]("gateway_body_refusals_total", "by",
		"Requests that were refused because there was no memory for their bodies: of the router, of the organisation's share, or taken back because the caller was slow.", telemetry.Alert)
)

// bodyRefusal is the limit by which a body was refused.
type bodyRefusal string

const (
	bodyRefusedInAll        bodyRefusal = "router"
	bodyRefusedOrganisation bodyRefusal = "organisation"
	bodyRefusedSlow         bodyRefusal = "slow"
)

// bodyRefusalOf holds the limit by the error of the claim.
var bodyRefusalOf = map[error]bodyRefusal{
	budget.ErrNoMemory:  bodyRefusedInAll,
	budget.ErrNoShare:   bodyRefusedOrganisation,
	budget.ErrReclaimed: bodyRefusedSlow,
}

// heldBytes is the memory in bytes that all requests take.
var heldBytes atomic.Int64

// requestMemory is the memory that one request takes beside its head. A router keeps its body until the request has
// ended, because another attempt may need it.
type requestMemory struct {
	claim   *budget.Claim
	claimed int64 // in bytes
}

// readBody reads a body of the given length, or of an unknown one if that is negative, in pieces whose memory it claims
// first. The error of a claim is returned as it is.
func (m *requestMemory) readBody(r io.Reader, length int64) ([]byte, error) {
	m.claim.SetIncomplete(time.Now())
	var pieces [][]byte
	for size, total := int64(minBodyPiece), int64(0); ; size = min(2*size, maxBodyPiece) {
		if length > 0 {
			size = min(size, max(length-total, 1)) // one byte shows the end
		}
		if err := m.grow(size); err != nil {
			return nil, err
		}
		piece, err := readPiece(r, make([]byte, size))
		pieces = append(pieces, piece)
		total += int64(len(piece))
		if err == io.EOF {
			return m.complete(pieces, total)
		}
		if err != nil {
			return nil, m.reclaimedOr(err)
		}
	}
}

// readPiece reads until the piece is full or r returns an error, and returns what was read. It returns io.EOF only if r
// does: io.ReadFull has one error for an end and for a body that is cut short.
func readPiece(r io.Reader, piece []byte) ([]byte, error) {
	n := 0
	for n < len(piece) {
		more, err := r.Read(piece[n:])
		n += more
		if err != nil {
			return piece[:n], err
		}
	}
	return piece, nil
}

// complete returns a body that has arrived, in one piece. While it is joined it takes its memory twice, which is not
// claimed: no more bodies are joined at a time than there are processors.
func (m *requestMemory) complete(pieces [][]byte, total int64) ([]byte, error) {
	if err := m.reclaimedOr(nil); err != nil {
		return nil, err
	}
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	out := make([]byte, 0, total)
	for _, piece := range pieces {
		out = append(out, piece...)
	}
	return out, nil
}

// reclaimedOr returns the error of a claim that was taken back, which ends the reading, or else err. The claim can't
// be taken back after that.
func (m *requestMemory) reclaimedOr(err error) error {
	if reclaimed := m.claim.SetComplete(); reclaimed != nil {
		bodyRefusals.Inc(bodyRefusalOf[reclaimed])
		return reclaimed
	}
	return err
}

// grow claims n bytes more.
func (m *requestMemory) grow(n int64) error {
	if err := m.claim.Grow(time.Now(), n); err != nil {
		bodyRefusals.Inc(bodyRefusalOf[err])
		return err
	}
	m.claimed += n
	bodyBytes.Set(heldBytes.Add(n))
	return nil
}

// release returns the memory of the request.
func (m *requestMemory) release() {
	m.claim.Shrink(m.claimed)
	bodyBytes.Set(heldBytes.Add(-m.claimed))
	m.claimed = 0
}

// isNoMemory reports whether a body was refused because there is no memory for it.
func isNoMemory(err error) bool {
	_, ok := bodyRefusalOf[err]
	return ok
}

// noMemory returns the refusal of a request that does not fit into the memory for callers.
func noMemory() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonQueueFull, "there is no memory for the request now").WithRetryAfter(bodyRetryAfter)
}
