// Package vocabulary notices words of a protocol that nothing reads.
//
// Whoever decodes what another system sends keeps a Table of the words that may stand at a
// place: those that it reads, and those that it passes over for a reason. Any other word is
// told in a line when it comes first, and counted. What a peer says in a word that nobody
// knows yet would else go unheard until it does harm.
package vocabulary

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

var unknownWordCount = telemetry.NewFamily[string]("vocabulary_unread_words_total", "word",
	"Words of other systems' messages that nothing here reads, nor passes over for a reason.", telemetry.Alert)

// Word is a word that a protocol names.
type Word struct {
	Name string
	// Reader is what reads it: a function or a type, as "package.Name" or "package.Type.Method".
	Reader string
	// IgnoreReason nothing reads it, if that is so.
	IgnoreReason string
}

const (
	// inspectionsPerSecond bounds how many objects' fields are looked at, each of which takes some
	// microseconds.
	inspectionsPerSecond = 50
	// maxObjectBytes is the size up to which an object's fields are looked at, in bytes.
	maxObjectBytes = 16 << 10
	// maxUnknownWords bounds the unread words that are remembered.
	maxUnknownWords = 64
)

// Table is the words that may stand at one place of a protocol. It is safe for concurrent use.
type Table struct {
	place       string
	words       []Word
	known       map[string]bool
	statuses    map[int]bool
	inspections *rate.Limiter
}

// New returns the Table of a place, such as "header of an answer".
func New(place string, words ...Word) *Table {
	t := &Table{place: place, words: words, known: make(map[string]bool), statuses: make(map[int]bool), inspections: rate.NewLimiter(inspectionsPerSecond, inspectionsPerSecond)}
	for _, w := range words {
		t.known[w.Name] = true
		if status, err := strconv.Atoi(w.Name); err == nil {
			t.statuses[status] = true
		}
	}
	return t
}

// Place returns where the words stand.
func (t *Table) Place() string { return t.place }

// Words returns the words of the Table.
func (t *Table) Words() []Word { return slices.Clone(t.words) }

// CheckHeaders takes in the headers of a message, and of what it was a part.
func (t *Table) CheckHeaders(h http.Header, message string) {
	for name := range h {
		if !t.known[name] {
			t.report(name, message)
		}
	}
}

// CheckStatus takes in the status of an answer.
func (t *Table) CheckStatus(status int, message string) {
	if !t.statuses[status] {
		t.report(strconv.Itoa(status), message)
	}
}

// CheckFields takes in the fields of a JSON object. Large ones are not looked at, nor all of many
// that come at once. What is no object has no fields.
func (t *Table) CheckFields(object []byte, message string) {
	if len(object) > maxObjectBytes || !t.inspections.Allow() {
		return
	}
	for _, name := range fieldNames(object) {
		if !t.known[name] {
			t.report(name, message)
		}
	}
}

// ReportMalformed takes in that the value of a word makes no sense.
func (t *Table) ReportMalformed(word, value, message string) {
	t.report(word+": "+truncate(value), message)
}

// maxValueBytes is how much of a value is told, in bytes.
const maxValueBytes = 32

func truncate(value string) string {
	if len(value) > maxValueBytes {
		return value[:maxValueBytes] + "..."
	}
	return value
}

// fieldNames returns the names of the fieldNames of a JSON object.
func fieldNames(object []byte) []string {
	d := json.NewDecoder(bytes.NewReader(object))
	if open, err := d.Token(); err != nil || open != json.Delim('{') {
		return nil
	}
	var out []string
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return out
		}
		var skipped json.RawMessage
		if err := d.Decode(&skipped); err != nil {
			return out
		}
		out = append(out, name.(string)) // a Decoder takes nothing else for a field's name
	}
	return out
}

// UnknownWord is a word that nothing reads.
type UnknownWord struct {
	Place   string    `json:"place"`
	Word    string    `json:"word"`
	Message string    `json:"of"` // the message in which it came first
	First   time.Time `json:"first"`
	Count   int       `json:"count"`
}

// unknown is the unread words of the process.
var unknown struct {
	mu    sync.Mutex
	words []UnknownWord
}

// UnknownWords returns the words that have come and that nothing reads, by place and word.
func UnknownWords() []UnknownWord {
	unknown.mu.Lock()
	defer unknown.mu.Unlock()
	out := slices.Clone(unknown.words)
	slices.SortFunc(out, func(a, b UnknownWord) int { return strings.Compare(a.Place+a.Word, b.Place+b.Word) })
	return out
}

func (t *Table) report(word, message string) {
	unknownWordCount.Inc(t.place + ": " + word)
	unknown.mu.Lock()
	defer unknown.mu.Unlock()
	for i := range unknown.words {
		if u := &unknown.words[i]; u.Place == t.place && u.Word == word {
			u.Count++
			return
		}
	}
	if len(unknown.words) >= maxUnknownWords {
		return
	}
	unknown.words = append(unknown.words, UnknownWord{Place: t.place, Word: word, Message: message, First: time.Now(), Count: 1})
	slog.Warn("a word came that nothing reads", "place", t.place, "word", word, "of", message)
}
