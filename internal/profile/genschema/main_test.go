package main

import (
	"os"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// A field is added to a type and the published schema is forgotten: editors
// then mark as wrong what the command line takes.
func TestSchemaIsCurrent(t *testing.T) {
	t.Chdir("..")
	for _, kind := range profile.Kinds {
		want, err := schema(kind, ".")
		if err != nil {
			t.Fatal(err)
		}
		got, err := os.ReadFile("../../docs/schema/" + string(kind) + fileSuffix)
		if err != nil {
			t.Fatal(err)
		}
		if string(got) != string(want) {
			t.Errorf("docs/schema/%s%s is not current: run go generate ./internal/profile", kind, fileSuffix)
		}
	}
}
