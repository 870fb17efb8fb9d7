package daemon

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// row is a metric's line on the operators' page.
func row(d telemetry.Desc) string {
	name, kind := d.Name, string(d.Kind)
	if d.Label != "" {
		name += "{" + d.Label + "}"
	}
	if d.Alert {
		kind += ", **alert**"
	}
	return fmt.Sprintf("| `%s` | %s | %s |", name, kind, d.Help)
}

// An alert goes off at night and the page that should say what the counter
// means has no row for it, because a change added the counter and not the row;
// or it has one for a counter that no longer exists.
func TestOperatorsPageListsEachMetric(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/counters.md")
	if err != nil {
		t.Fatal(err)
	}
	var have []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			have = append(have, strings.TrimSpace(line))
		}
	}
	var want []string
	for _, d := range telemetry.Descs() {
		want = append(want, row(d))
	}
	if !slices.Equal(have, want) {
		t.Errorf("docs/operators/counters.md should list, in this order:\n%s", strings.Join(want, "\n"))
	}
}

// The morning page names for each alert counter what to look at.
func TestMorningPageNamesEachAlert(t *testing.T) {
	page, err := os.ReadFile("../../docs/operators/morning.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range telemetry.Descs() {
		if d.Alert && !strings.Contains(string(page), "| `"+d.Name+"` |") {
			t.Errorf("docs/operators/morning.md has no row for the alert counter %s (%s)", d.Name, d.Help)
		}
	}
}
