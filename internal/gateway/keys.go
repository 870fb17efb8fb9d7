package gateway

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// maxMintBodyBytes bounds the body of POST /v1/keys.
const maxMintBodyBytes = 4 << 10

// mintRequest is the body of POST /v1/keys.
type mintRequest struct {
	Profile string `json:"profile"`
	Session string `json:"session,omitempty"`
	Count   int    `json:"count,omitempty"` // zero means one
}

// mintResponse is the response to POST /v1/keys.
type mintResponse struct {
	Keys    []string  `json:"keys"`
	Expires time.Time `json:"expires"`
}

func (g *Gateway) mintKeys(x *exchange) error {
	body, err := x.body(maxMintBodyBytes)
	if err != nil {
		return err
	}
	req := mintRequest{}
	if err := json.Unmarshal(body, &req); err != nil {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a request for keys: %s", err)
	}
	count := max(req.Count, 1)
	if req.Count < 0 || count > router.MaxMintedKeys {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "count is out of range: ask for 1 to %d keys", router.MaxMintedKeys)
	}
	p := x.allowedProfile(req.Profile)
	if p == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "you have no profile of this name")
	}
	keys, expires, err := g.router.Mint(x.r.Context(), x.org, p, req.Session, count)
	if err != nil {
		return err
	}
	writeJSON(x.w, http.StatusOK, mintResponse{Keys: keys, Expires: expires.UTC()})
	return nil
}

// requestKey returns the key for the Idempotency-Key header of the request, or nil
// if it has none.
func (g *Gateway) requestKey(x *exchange, p *profile.Profile, session string) (*wire.Key, error) {
	values := x.r.Header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return nil, nil
	}
	text := values[0]
	if len(values) > 1 || !validKey(text) {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonBadKey, "the idempotency key is not 1 to %d printable characters", maxHeaderValueBytes)
	}
	key, err := g.resolveKey(x, p, session, text)
	if err != nil {
		return nil, err
	}
	if vm, ok := x.view.VMs[key.VM]; ok && vm.Pool != p.Pool {
		e := verdict.New(verdict.NotRun, verdict.ReasonKeyReused, "the key is for requests of another profile")
		e.EarlierUnknown = true
		return nil, e
	}
	return &key, nil
}

func (g *Gateway) resolveKey(x *exchange, p *profile.Profile, session, text string) (wire.Key, error) {
	if strings.HasPrefix(text, router.KeyPrefix) {
		return g.router.OpenKey(x.org.Name, text)
	}
	return g.router.Claim(x.r.Context(), x.org, p, session, text)
}

func validKey(s string) bool {
	for _, c := range []byte(s) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return len(s) > 0 && len(s) <= maxHeaderValueBytes
}

// requestState is the response to GET and DELETE of a request.
type requestState struct {
	ID      string            `json:"id"`
	State   wire.RequestState `json:"state"`
	Verdict verdict.Verdict   `json:"verdict"`
	Length  int64             `json:"length"` // bytes of the response so far
}

// requestStatus writes the state of an earlier request or, if the query has an
// offset, the rest of its response from there.
func (g *Gateway) requestStatus(x *exchange) error {
	key, err := g.earlierKey(x)
	if err != nil {
		return err
	}
	if !x.r.URL.Query().Has("offset") {
		status, err := g.router.Status(x.r.Context(), x.org.Name, key)
		return x.writeState(status, err)
	}
	offset, err := strconv.ParseInt(x.r.URL.Query().Get("offset"), 10, 64)
	if err != nil || offset < 0 {
		return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "offset is not a number of bytes")
	}
	response, err := g.router.Resume(x.r.Context(), x.org, key, offset)
	if err != nil {
		return err
	}
	x.w.Header().Set(HeaderOffset, strconv.FormatInt(offset, 10))
	x.copyResponse(response, offset)
	return nil
}

func (g *Gateway) cancelRequest(x *exchange) error {
	key, err := g.earlierKey(x)
	if err != nil {
		return err
	}
	status, err := g.router.Cancel(x.r.Context(), x.org.Name, key)
	return x.writeState(status, err)
}

// earlierKey returns the key of the request that the path names. An id of another
// organisation is treated as one that does not exist.
func (g *Gateway) earlierKey(x *exchange) (wire.Key, error) {
	key, err := g.router.OpenKey(x.org.Name, x.r.PathValue("id"))
	if err != nil {
		return key, verdict.New(verdict.NotRun, verdict.ReasonUnknownRequest, "there is no request of yours with this id")
	}
	return key, nil
}

func (x *exchange) writeState(s wire.Status, err error) error {
	if err != nil {
		return err
	}
	x.w.Header().Set(HeaderVerdict, s.Verdict.String())
	writeJSON(x.w, http.StatusOK, requestState{ID: x.r.PathValue("id"), State: s.State, Verdict: s.Verdict, Length: s.Length})
	return nil
}
