package policy

import (
	"reflect"
	"strings"
	"testing"
)

// If a name switched off a different mechanism, or a new field of Policy had no name,
// operators and measurements would draw conclusions about the wrong mechanism. Each name
// must switch off exactly one field that no other name switches off.
func TestEachMechanismIsDisabledSeparately(t *testing.T) {
	all := All()
	seen := make(map[string]bool)
	for _, name := range Names() {
		p, err := Without(name)
		if err != nil {
			t.Fatal(err)
		}
		disabled := ""
		for i := range reflect.TypeOf(p).NumField() {
			if !reflect.ValueOf(p).Field(i).Bool() {
				disabled += reflect.TypeOf(p).Field(i).Name
			}
			if !reflect.ValueOf(all).Field(i).Bool() {
				t.Errorf("%s is off in All: no mechanism has this field", reflect.TypeOf(p).Field(i).Name)
			}
		}
		if seen[disabled] || disabled == "" {
			t.Errorf("%s switches %q off", name, disabled)
		}
		seen[disabled] = true
	}
}

// A mistyped name is an error that lists the valid names, and nothing is switched off.
func TestUnknownMechanismsAreErrors(t *testing.T) {
	p, err := Without("hedges,hegdes")
	if err == nil || !strings.Contains(err.Error(), "hedges") || p != All() {
		t.Errorf("Without with an unknown name returned %+v, %v", p, err)
	}
	if p, err := Without(" hedges, linger ,"); err != nil || p.Hedges || p.Linger || !p.Pace {
		t.Errorf("Without with spaces and an empty name returned %+v, %v", p, err)
	}
}
