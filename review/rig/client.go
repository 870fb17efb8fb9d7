package rig

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// Attempt is a client attempt and what became of it.
type Attempt struct {
	ID, Key, Method, Path string
	Body                  []byte
	Header                map[string]string
	Deadline              time.Duration

	SentAt, EndedAt time.Time
	Status          int
	Answer          []byte
	Err             error
}

var lastAttempt atomic.Int64

// NewAttempt returns an attempt with an id of its own.
func NewAttempt(method, path, key string, deadline time.Duration) *Attempt {
	return &Attempt{ID: fmt.Sprintf("%016x", lastAttempt.Add(1)), Key: key, Method: method, Path: path, Deadline: deadline}
}

// Host is the host of all routes.
const Host = "ficu95.example"

// Send sends the attempt to a router on a new connection, and reads its answer.
func (a *Attempt) Send(router *Router) {
	client := http.Client{Timeout: a.Deadline + 2*time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	req, err := http.NewRequest(a.Method, "http://"+router.Front+a.Path, bytes.NewReader(a.Body))
	if err != nil {
		a.Err = err
		return
	}
	req.Host = Host
	req.Header.Set("Attempt-Id", a.ID)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(a.Deadline.Milliseconds(), 10))
	if a.Key != "" {
		req.Header.Set("Authorization", "Token "+a.Key)
	}
	for name, value := range a.Header {
		req.Header.Set(name, value)
	}
	a.SentAt = time.Now()
	defer func() { a.EndedAt = time.Now() }()
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return
	}
	defer resp.Body.Close()
	a.Status = resp.StatusCode
	a.Answer, a.Err = io.ReadAll(resp.Body)
}
