// Package gateway is the HTTP face that callers see.
package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// Headers between callers and the gateway.
const (
	HeaderRequestID = "Parsley-Request-Id"
	HeaderVerdict   = "Parsley-Verdict"
	HeaderReason    = "Parsley-Reason"
	HeaderTicket    = "Parsley-Ticket"
	HeaderSession   = "Parsley-Session"
	HeaderProfile   = "Parsley-Profile"
)

// defaultMaxBody is the largest request body where the profile says nothing, in bytes.
const defaultMaxBody = 1 << 20

// Gateway serves callers.
type Gateway struct {
	router *router.Router
	mux    *http.ServeMux
}

// New returns a Gateway in front of r.
func New(r *router.Router) *Gateway {
	g := &Gateway{router: r, mux: http.NewServeMux()}
	g.mux.HandleFunc("POST /v1/chat/completions", g.chat)
	g.mux.HandleFunc("GET /v1/models", g.models)
	g.mux.HandleFunc("/services/{service}/{path...}", g.service)
	g.mux.HandleFunc("GET /livez", func(http.ResponseWriter, *http.Request) {})
	g.mux.HandleFunc("GET /readyz", g.ready)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mux.ServeHTTP(w, r)
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if !g.router.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// authenticate returns the organisation whose API key the request carries.
func (g *Gateway) authenticate(r *http.Request, v *router.View) (*profile.Organisation, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		if org := v.Orgs[profile.HashKey(key)]; org != nil {
			return org, nil
		}
	}
	return nil, verdict.New(verdict.NotRun, verdict.ReasonUnauthorized, "the API key is missing or unknown")
}

// chatRequest is the part of a chat request that routing needs.
type chatRequest struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	User     string            `json:"user"`
}

func (g *Gateway) chat(w http.ResponseWriter, r *http.Request) {
	view := g.router.View()
	org, err := g.authenticate(r, view)
	if err != nil {
		writeProblem(w, "", err)
		return
	}
	body, err := readBody(w, r, defaultMaxBody)
	if err != nil {
		writeProblem(w, "", err)
		return
	}
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil || len(chat.Messages) == 0 {
		writeProblem(w, "", verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a chat request"))
		return
	}
	p := view.ForModel(org, r.Header.Get(HeaderProfile), chat.Model)
	if p == nil {
		writeProblem(w, "", verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "no profile of yours serves model %q", chat.Model))
		return
	}
	g.forward(w, r, router.Request{
		Org:     org,
		Profile: p,
		Session: chatSession(r, chat),
		Ticket:  r.Header.Get(HeaderTicket),
		Call:    wire.Call{Method: r.Method, Path: r.URL.Path, Header: passed(r.Header), Body: body},
	})
}

// chatSession names the chat: by the caller's header, or else by the messages
// that open it, which every later turn repeats.
func chatSession(r *http.Request, chat chatRequest) string {
	if s := r.Header.Get(HeaderSession); s != "" {
		return s
	}
	opening := chat.Messages[:min(2, len(chat.Messages))]
	b, _ := json.Marshal(opening)
	return chat.User + "\x00" + string(b)
}

func (g *Gateway) service(w http.ResponseWriter, r *http.Request) {
	view := g.router.View()
	org, err := g.authenticate(r, view)
	if err != nil {
		writeProblem(w, "", err)
		return
	}
	path := "/" + r.PathValue("path")
	p := view.ForService(org, r.Header.Get(HeaderProfile), r.PathValue("service"), r.Method, path)
	if p == nil {
		writeProblem(w, "", verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "no profile of yours serves this call"))
		return
	}
	body, err := readBody(w, r, maxBody(p))
	if err != nil {
		writeProblem(w, "", err)
		return
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	g.forward(w, r, router.Request{
		Org:     org,
		Profile: p,
		Session: r.Header.Get(HeaderSession),
		Ticket:  r.Header.Get(HeaderTicket),
		Call:    wire.Call{Method: r.Method, Path: path, Header: passed(r.Header), Body: body},
	})
}

func maxBody(p *profile.Profile) int64 {
	if p.MaxBody > 0 {
		return int64(p.MaxBody)
	}
	return defaultMaxBody
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonTooLarge, "the body is over %d bytes or was cut short", limit)
	}
	return body, nil
}

// passed returns the headers that go on to the upstream.
func passed(h http.Header) http.Header {
	out := make(http.Header)
	for _, name := range []string{"Accept", "Accept-Language", "Content-Type"} {
		if v := h.Values(name); len(v) > 0 {
			out[name] = v
		}
	}
	return out
}

// forward sends the request on and copies the answer to the caller.
func (g *Gateway) forward(w http.ResponseWriter, r *http.Request, req router.Request) {
	answer, err := g.router.Dispatch(r.Context(), req)
	if err != nil {
		writeProblem(w, "", err)
		return
	}
	defer answer.Close()
	w.Header().Set(HeaderRequestID, answer.ID())
	w.Header().Set(HeaderTicket, answer.Ticket())
	started := false
	for {
		piece, err := answer.Next()
		if err == nil && piece.End != nil && piece.End.Error == nil {
			return
		}
		if err == nil && piece.End != nil {
			err = piece.End.Error
		}
		if err != nil {
			cutShort(w, answer.ID(), err, started)
			return
		}
		started = true
		if writePiece(w, piece) != nil {
			return
		}
	}
}

// cutShort ends an answer that cannot be completed. Once bytes have gone out,
// breaking the connection is the only way to show that the answer is not whole.
func cutShort(w http.ResponseWriter, id string, err error, started bool) {
	if started {
		panic(http.ErrAbortHandler)
	}
	writeProblem(w, id, err)
}

func writePiece(w http.ResponseWriter, p wire.Piece) error {
	if p.Head != nil {
		for name, values := range p.Head.Header {
			if name != "Date" {
				w.Header()[name] = values
			}
		}
		w.Header().Set(HeaderVerdict, verdict.Ran.String())
		w.WriteHeader(p.Head.Status)
		return nil
	}
	if _, err := w.Write(p.Bytes); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	view := g.router.View()
	org, err := g.authenticate(r, view)
	if err != nil {
		writeProblem(w, "", err)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	seen := make(map[string]bool)
	for _, name := range org.Profiles {
		if p := view.Profiles[name]; p != nil && p.Model != "" && !seen[p.Model] {
			seen[p.Model] = true
			list.Data = append(list.Data, model{ID: p.Model, Object: "model", OwnedBy: "parsleyfront"})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// problem is an RFC 9457 problem document with the verdict.
type problem struct {
	Type       string          `json:"type"`
	Title      string          `json:"title"`
	Status     int             `json:"status"`
	Detail     string          `json:"detail,omitempty"`
	Verdict    verdict.Verdict `json:"verdict"`
	Reason     verdict.Reason  `json:"reason"`
	RequestID  string          `json:"request_id,omitempty"`
	RetryAfter int             `json:"retry_after_seconds,omitempty"`
}

func writeProblem(w http.ResponseWriter, id string, err error) {
	e := verdict.From(err)
	p := problem{
		Type:       "urn:parsleyfront:problem:" + string(e.Reason),
		Title:      string(e.Reason),
		Status:     status(e),
		Detail:     e.Detail,
		Verdict:    e.Verdict,
		Reason:     e.Reason,
		RequestID:  id,
		RetryAfter: int((e.RetryAfter + time.Second - 1) / time.Second),
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderVerdict, e.Verdict.String())
	h.Set(HeaderReason, string(e.Reason))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func status(e *verdict.Error) int {
	switch e.Reason {
	case verdict.ReasonBadRequest, verdict.ReasonBadKey:
		return http.StatusBadRequest
	case verdict.ReasonUnauthorized:
		return http.StatusUnauthorized
	case verdict.ReasonForbidden:
		return http.StatusForbidden
	case verdict.ReasonUnknownProfile, verdict.ReasonUnknownRequest:
		return http.StatusNotFound
	case verdict.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case verdict.ReasonConcurrency:
		return http.StatusTooManyRequests
	case verdict.ReasonDeadline:
		return http.StatusGatewayTimeout
	case verdict.ReasonUpstreamFailed, verdict.ReasonConnection, verdict.ReasonInternal:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
