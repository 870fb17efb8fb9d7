package daemon

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/telemetry"
)

// row returns the line of a metric in the table of docs/operators/counters.md.
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

// A change that adds or removes a metric without changing the operators' page would leave
// an alert unexplained, or a row for a metric that no longer exists.
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

// An alert counter without a row on the page for the morning check would not be looked at,
// so that its growth would go unnoticed.
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
