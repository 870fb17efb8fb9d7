package ctl

import (
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

func readPage(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile("../../docs/operators/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against commands and exit codes that are missing in the operators'
// documentation.
func TestPageNamesEachCommandAndExitCode(t *testing.T) {
	text := readPage(t, "parsleyctl.md")
	for _, h := range handlers {
		if !strings.Contains(text, "`"+h.name) {
			t.Errorf("parsleyctl.md does not name the command %q", h.name)
		}
	}
	for code := ExitOK; code <= ExitPartial; code++ {
		if !strings.Contains(text, "\n| "+strconv.Itoa(int(code))+" | ") {
			t.Errorf("parsleyctl.md does not name the exit code %d", code)
		}
	}
}

// Guards against fields of configuration files that are missing in the
// operators' documentation.
func TestPageNamesEachField(t *testing.T) {
	text := readPage(t, "profiles.md")
	for _, kind := range profile.Kinds {
		checkFields(t, text, "", reflect.TypeOf(profile.New(kind)).Elem())
	}
}

func checkFields(t *testing.T, text, parent string, typ reflect.Type) {
	for i := range typ.NumField() {
		f := typ.Field(i)
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		switch {
		case f.Type.Kind() == reflect.Struct:
			checkFields(t, text, parent+name+".", f.Type)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			checkFields(t, text, parent+name+"[].", f.Type.Elem())
		default:
			if !strings.Contains(text, "\n| `"+parent+name+"` | ") {
				t.Errorf("profiles.md does not name the field %s%s", parent, name)
			}
		}
	}
}
