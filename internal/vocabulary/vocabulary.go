// Package vocabulary detects headers, statuses and fields of a protocol that no code handles.
//
// A decoder of another system's messages keeps a Table of the words that may occur at a place,
// such as the headers of a response: those that it reads, and those that it ignores, with the
// reason. Any other word is logged at its first occurrence and counted. Without that, an
// addition to the protocol would be ignored silently until it causes a failure.
package vocabulary

import (
	"bytes"
	"encoding/json"
	"fmt"
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

// Word is a name that a protocol defines: of a header or a field, or a status code. It has either
// a Reader or an IgnoreReason.
type Word struct {
	Name string
	// Reader is the function or type that reads the word, as "package.Name" or
	// "package.Type.Method".
	Reader string
	// IgnoreReason says why nothing reads the word.
	IgnoreReason string
}

const (
	// inspectionsPerSecond limits the JSON objects whose fields a Table inspects, on average and in a
	// burst. An inspection takes a few microseconds, and thousands of objects may arrive at once.
	inspectionsPerSecond = 50
	// maxObjectBytes is the size up to which an object's fields are inspected.
	maxObjectBytes = 16 << 10
	// maxUnknownWords limits the unknown words that the process records; more are counted only.
	maxUnknownWords = 64
)

// Table holds the words that may occur at one place of a protocol. It is safe for concurrent use.
type Table struct {
	place       string
	words       []Word
	known       map[string]bool
	statuses    map[int]bool
	inspections *rate.Limiter
}

// New returns the Table of a place, such as "header of a response". A word whose name is a number is
// a status.
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

// Place returns the place at which the words occur.
func (t *Table) Place() string { return t.place }

// Words returns a copy of the Table's words.
func (t *Table) Words() []Word { return slices.Clone(t.words) }

// CheckHeaders reports the headers that are not in the Table. source identifies the message that
// carried them, for example by its id.
func (t *Table) CheckHeaders(h http.Header, source string) {
	for name := range h {
		if !t.known[name] {
			t.report(name, source)
		}
	}
}

// CheckStatus reports a status that is not in the Table. source identifies the response.
func (t *Table) CheckStatus(status int, source string) {
	if !t.statuses[status] {
		t.report(strconv.Itoa(status), source)
	}
}

// CheckFields reports the fields of a JSON object that are not in the Table. It skips objects
// larger than maxObjectBytes and those beyond inspectionsPerSecond. Other JSON values have no
// fields, and malformed JSON has those before its first error. source identifies the object.
func (t *Table) CheckFields(object []byte, source string) {
	if len(object) > maxObjectBytes || !t.inspections.Allow() {
		return
	}
	for _, name := range fieldNames(object) {
		if !t.known[name] {
			t.report(name, source)
		}
	}
}

// ReportMalformed reports a known word with a value that cannot be interpreted, as the unknown word
// "NAME: VALUE" with a truncated value. source identifies the message.
func (t *Table) ReportMalformed(word, value, source string) {
	t.report(word+": "+truncate(value), source)
}

// ReportUnreadPart reports a known word whose value has more parts than the code reads, as the
// unknown word "NAME: part N". part counts from one. source identifies the message.
func (t *Table) ReportUnreadPart(word string, part int, source string) {
	t.report(fmt.Sprintf("%s: part %d", word, part), source)
}

// maxValueBytes is the number of bytes of a malformed value that are reported.
const maxValueBytes = 32

// truncate returns at most maxValueBytes of value, followed by "..." if more are left out.
func truncate(value string) string {
	if len(value) > maxValueBytes {
		return value[:maxValueBytes] + "..."
	}
	return value
}

// fieldNames returns the names of the fields of a JSON object, up to the first syntax error.
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
		out = append(out, name.(string)) // a Decoder accepts only strings as field names
	}
	return out
}

// UnknownWord is a word that has occurred and is not in the Table of its place, or a word of the
// Table with a malformed value.
type UnknownWord struct {
	Place  string    `json:"place"`
	Word   string    `json:"word"` // its name; "NAME: VALUE" if the value is malformed, "NAME: part N" if it has unread parts
	Source string    `json:"of"`   // identifies the message of its first occurrence
	First  time.Time `json:"first"`
	Count  int       `json:"count"`
}

// unknown holds the unknown words that the process has received.
var unknown struct {
	mu    sync.Mutex
	words []UnknownWord
}

// UnknownWords returns the unknown words that the process has received, sorted by place and word.
func UnknownWords() []UnknownWord {
	unknown.mu.Lock()
	defer unknown.mu.Unlock()
	out := slices.Clone(unknown.words)
	slices.SortFunc(out, func(a, b UnknownWord) int { return strings.Compare(a.Place+a.Word, b.Place+b.Word) })
	return out
}

// report counts an unknown word, and records and logs it at its first occurrence, up to
// maxUnknownWords in the process. After these, new words are counted only.
func (t *Table) report(word, source string) {
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
	unknown.words = append(unknown.words, UnknownWord{Place: t.place, Word: word, Source: source, First: time.Now(), Count: 1})
	slog.Warn("a word came that nothing reads", "place", t.place, "word", word, "of", source)
}
