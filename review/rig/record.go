// Package rig holds what the cases of this review share: a record of what was seen, the platform's
// store behind a link that can go silent, runners, clients, and routers as processes.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the log of a case. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// OpenRecord creates the file of a record.
func OpenRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, start: time.Now()}, nil
}

// Line writes one line with the time in milliseconds since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8d ms  %s\n", time.Since(r.start).Milliseconds(), fmt.Sprintf(format, args...))
}

// Close closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
}
