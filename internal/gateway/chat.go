package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/router"
	"github.com/parsleyfront/parsleyfront/internal/verdict"
	"github.com/parsleyfront/parsleyfront/internal/wire"
)

// chatRequest holds the fields of a chat request that routing needs.
type chatRequest struct {
	Model    string            `json:"model"`
	Messages []json.RawMessage `json:"messages"`
	User     string            `json:"user"`
}

func parseChat(body []byte) (chatRequest, error) {
	var chat chatRequest
	if err := json.Unmarshal(body, &chat); err != nil {
		return chat, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body is not a chat request: %s", err)
	}
	if chat.Model == "" {
		return chat, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the chat request names no model")
	}
	if len(chat.Messages) == 0 {
		return chat, verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the chat request has no messages")
	}
	return chat, nil
}

func (g *Gateway) chat(x *exchange) error {
	body, err := x.body(x.maxChatBodyBytes())
	if err != nil {
		return err
	}
	chat, err := parseChat(body)
	if err != nil {
		return err
	}
	p := x.view.ForModel(x.org, x.r.Header.Get(HeaderProfile), chat.Model)
	if p == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "no profile of yours serves this model")
	}
	if int64(len(body)) > maxBodyBytes(p) {
		return tooLarge(maxBodyBytes(p))
	}
	return g.forward(x, router.Request{
		Org:     x.org,
		Profile: p,
		Session: chatSession(x.r, chat),
		Call:    wire.Call{Method: x.r.Method, Path: x.r.URL.Path, Header: forwardedHeaders(x.r.Header), Body: body},
	})
}

// maxChatBodyBytes returns the largest body that any of the organisation's chat
// profiles accepts. The profile of the request is known only once its body has been read.
func (x *exchange) maxChatBodyBytes() int64 {
	largest := int64(0)
	for _, name := range x.org.Profiles {
		if p := x.view.Profiles[name]; p != nil && p.Model != "" {
			largest = max(largest, maxBodyBytes(p))
		}
	}
	if largest == 0 {
		return defaultMaxBodyBytes
	}
	return largest
}

const (
	// maxOpeningMessages bounds the messages that identify a chat: those up to the
	// first one of the user.
	maxOpeningMessages = 8
	roleUser           = "user"
)

// chatSession returns the session of a chat: the caller's header, or else the
// messages up to the first one of the user, which every later turn repeats.
func chatSession(r *http.Request, chat chatRequest) string {
	if s := r.Header.Get(HeaderSession); s != "" {
		return s
	}
	var b strings.Builder
	b.WriteString(chat.User)
	for _, m := range chat.Messages[:min(maxOpeningMessages, len(chat.Messages))] {
		b.WriteByte(0)
		b.Write(m)
		var message struct {
			Role string `json:"role"`
		}
		if json.Unmarshal(m, &message) == nil && message.Role == roleUser {
			break
		}
	}
	return b.String()
}

// modelList is the response to GET /v1/models.
type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (g *Gateway) models(x *exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	seen := make(map[string]bool)
	for _, name := range x.org.Profiles {
		if p := x.view.Profiles[name]; p != nil && p.Model != "" && !seen[p.Model] {
			seen[p.Model] = true
			list.Data = append(list.Data, model{ID: p.Model, Object: "model", OwnedBy: "parsleyfront"})
		}
	}
	writeJSON(x.w, http.StatusOK, list)
	return nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (g *Gateway) service(x *exchange) error {
	path := "/" + x.r.PathValue("path")
	p := x.view.ForService(x.org, x.r.Header.Get(HeaderProfile), x.r.PathValue("service"), x.r.Method, path)
	if p == nil {
		return unknownService()
	}
	body, err := x.body(maxBodyBytes(p))
	if err != nil {
		return err
	}
	return g.forward(x, router.Request{
		Org:     x.org,
		Profile: p,
		Session: x.r.Header.Get(HeaderSession),
		Call:    wire.Call{Method: x.r.Method, Path: servicePath(x.r), Header: forwardedHeaders(x.r.Header), Body: body},
	})
}

func unknownService() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.ReasonUnknownProfile, "no profile of yours serves this call")
}

// servicePath returns the path and query for the service as the caller wrote
// them. An escaped slash does not separate path elements.
func servicePath(r *http.Request) string {
	const skip = 3 // "", "services" and the name
	parts := strings.SplitN(r.URL.EscapedPath(), "/", skip+1)
	path := "/"
	if len(parts) > skip {
		path += parts[skip]
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// allowedProfile returns the profile with the given name, or nil if the organisation's
// list does not contain it.
func (x *exchange) allowedProfile(name string) *profile.Profile {
	for _, allowed := range x.org.Profiles {
		if allowed == name {
			return x.view.Profiles[name]
		}
	}
	return nil
}
