package vocabulary

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
)

// unknownAt returns the unknown words of a place, each with its number of occurrences.
func unknownAt(place string) []string {
	var out []string
	for _, u := range UnknownWords() {
		if u.Place == place {
			out = append(out, fmt.Sprint(u.Word, " ", u.Count))
		}
	}
	return out
}

// A peer adds words to the protocol, or sends a malformed value. Guards against ignoring them
// silently: each must be reported once, with the number of its occurrences.
func TestUnknownWordsAreReported(t *testing.T) {
	table := New("test", Word{Name: "Known"}, Word{Name: "200"}, Word{Name: "state"})
	for range 2 {
		table.CheckHeaders(http.Header{"Known": {"1"}, "New": {"1"}}, "a")
		table.CheckStatus(http.StatusOK, "a")
		table.CheckStatus(http.StatusTeapot, "a")
		table.CheckFields([]byte(`{"state": {"deep": 1}, "born": 5}`), "a")
		table.ReportMalformed("Known", "soon", "a")
	}
	want := []string{"418 2", "Known: soon 2", "New 2", "born 2"}
	if got := unknownAt("test"); !slices.Equal(got, want) {
		t.Errorf("reported %v, want %v", got, want)
	}
}

// A peer sends malformed JSON, or a JSON value other than an object, where an object belongs. Guards
// against a panic in the inspection, and against fields that are made up from such values.
func TestNonObjectsHaveNoFields(t *testing.T) {
	for _, raw := range []string{"", "7", "null", "[1]", `"text"`, "{", `{"a"`, `{"a":`, `{"a":}`, "{{", "\x00"} {
		if got := fieldNames([]byte(raw)); len(got) != 0 {
			t.Errorf("%q has fields %v", raw, got)
		}
	}
}

// Guards against inspections that use up the processor when thousands of objects arrive at once.
func TestInspectionsAreRateLimited(t *testing.T) {
	table := New("objects")
	for range 40 * inspectionsPerSecond {
		table.CheckFields([]byte(`{"unknown": 1}`), "a")
	}
	for _, u := range UnknownWords() {
		if u.Place == "objects" && u.Count > 10*inspectionsPerSecond {
			t.Errorf("%d objects were inspected", u.Count)
		}
	}
}

// Guards against unbounded memory use when a peer sends different unknown words without end.
func TestUnknownWordsAreBounded(t *testing.T) {
	table := New("many")
	for i := range 10 * maxUnknownWords {
		table.CheckHeaders(http.Header{fmt.Sprint("X-", i): {"1"}}, "a")
	}
	if n := len(UnknownWords()); n > maxUnknownWords {
		t.Errorf("%d words are remembered", n)
	}
}

// Guards against panics on any bytes that a peer sends in place of a JSON object.
func FuzzFields(f *testing.F) {
	f.Add([]byte(`{"a": 1, "b": {"c": [null]}}`))
	f.Add([]byte(`{"a": 1, 2: 3}`))
	f.Fuzz(func(_ *testing.T, raw []byte) { fieldNames(raw) })
}
