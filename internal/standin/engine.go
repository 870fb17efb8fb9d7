package standin

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// EngineConfig describes a stand-in engine.
type EngineConfig struct {
	Model      string
	TokenDelay time.Duration // between tokens
	Tokens     int           // in a response
	CacheSize  int           // maximum number of cached prompt prefixes
}

// Engine stands in for a model engine. It implements the common chat completions API,
// caches prompt prefixes and records its runs. Its responses depend only on the prompt,
// so that a test can match a response to its request.
type Engine struct {
	config EngineConfig
	mu     sync.Mutex
	cache  []string // prefixes, least recently used first
	runs   []Run

	sessions map[string][]string // prefixes by session
	health   health
}

// Run is one request that an engine or service has started.
type Run struct {
	Key  string `json:"key"` // request key from RunHeader
	Text string `json:"text"`
}

// RunHeader carries the request key to upstreams, which may record it.
const RunHeader = "X-Request-Id"

// NewEngine returns an Engine with an empty cache.
func NewEngine(c EngineConfig) *Engine {
	return &Engine{config: c, sessions: make(map[string][]string), health: newHealth()}
}

// Register adds the engine's routes to mux.
func (e *Engine) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", e.chat)
	mux.HandleFunc("GET /v1/models", e.models)
	mux.HandleFunc("GET /debug/runs", e.serveRuns)
	mux.HandleFunc("GET /health", e.health.serve)
	mux.HandleFunc("GET /kv/export", e.exportCache)
	mux.HandleFunc("POST /kv/import", e.importCache)
}

// Runs returns the recorded runs, in order.
func (e *Engine) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

func (e *Engine) serveRuns(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.Runs())
}

func (e *Engine) models(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, modelList{Object: "list", Data: []model{{ID: e.config.Model, Object: "model"}}})
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type chatRequest struct {
	Model    string        `json:"model"`
	Messages []chatMessage `json:"messages"`
	Stream   bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type chatResponse struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	defer e.health.begin()()
	var req chatRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil || len(req.Messages) == 0 {
		http.Error(w, `{"error":{"message":"bad chat request"}}`, http.StatusBadRequest)
		return
	}
	words := e.generate(req)
	usage := e.recordRun(r.Header.Get(RunHeader), r.Header.Get(SessionHeader), req, len(words))
	id := "chatcmpl-" + r.Header.Get(RunHeader)
	if req.Stream {
		e.stream(w, r, id, words, usage)
		return
	}
	for range words {
		if !sleep(r, e.config.TokenDelay) {
			return
		}
	}
	text := strings.Join(words, "")
	stop := "stop"
	choice := chatChoice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &stop}
	writeJSON(w, chatResponse{ID: id, Object: "chat.completion", Model: req.Model, Choices: []chatChoice{choice}, Usage: usage})
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, id string, words []string, usage *chatUsage) {
	w.Header().Set("Content-Type", "text/event-stream")
	chunk := chatResponse{ID: id, Object: "chat.completion.chunk", Model: e.config.Model}
	for _, word := range words {
		if !sleep(r, e.config.TokenDelay) {
			return
		}
		chunk.Choices = []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: word}}}
		writeEvent(w, chunk)
	}
	stop := "stop"
	chunk.Choices = []chatChoice{{Delta: &chatMessage{}, FinishReason: &stop}}
	chunk.Usage = usage
	writeEvent(w, chunk)
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func writeEvent(w http.ResponseWriter, v any) {
	b, _ := json.Marshal(v)
	fmt.Fprintf(w, "data: %s\n\n", b)
	w.(http.Flusher).Flush()
}

// sleep waits for d. It returns false if the request is cancelled first.
func sleep(r *http.Request, d time.Duration) bool {
	if d == 0 {
		return r.Context().Err() == nil
	}
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// generate returns the words of the response, which depend only on the prompt.
func (e *Engine) generate(req chatRequest) []string {
	h := fnv.New64a()
	for _, m := range req.Messages {
		fmt.Fprintf(h, "%s\x00%s\x00", m.Role, m.Content)
	}
	words := make([]string, e.config.Tokens)
	for i := range words {
		words[i] = fmt.Sprintf("w%x-%d ", h.Sum64()&0xffffff, i)
	}
	return words
}

// recordRun records the run, caches its prefixes and returns its token usage, including
// how much of the prompt was cached.
func (e *Engine) recordRun(key, session string, req chatRequest, tokens int) *chatUsage {
	e.mu.Lock()
	defer e.mu.Unlock()
	lastMessage := req.Messages[len(req.Messages)-1].Content
	e.runs = append(e.runs, Run{Key: key, Text: lastMessage})
	cached, total := 0, 0
	prefix := ""
	var prefixes []string
	for _, m := range req.Messages {
		prefix += m.Role + "\x00" + m.Content + "\x00"
		total += len(strings.Fields(m.Content))
		prefixes = append(prefixes, prefix)
		if e.touch(prefix) {
			cached = total
		}
	}
	if session != "" {
		e.sessions[session] = prefixes
	}
	u := &chatUsage{PromptTokens: total, CompletionTokens: tokens, TotalTokens: total + tokens}
	u.PromptDetails.CachedTokens = cached
	return u
}

// touch makes prefix the most recently used one, adding it if necessary, and reports
// whether it was cached before. It needs e.mu held.
func (e *Engine) touch(prefix string) bool {
	found := false
	for i, p := range e.cache {
		if p == prefix {
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
			found = true
			break
		}
	}
	e.cache = append(e.cache, prefix)
	if len(e.cache) > e.config.CacheSize {
		e.cache = e.cache[1:]
	}
	return found
}
