package main

import (
	"os"
	"testing"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// If a type is changed and the published schemas are not generated again, editors
// report errors in files that the command line accepts.
func TestSchemaIsCurrent(t *testing.T) {
	t.Chdir("..")
	for _, kind := range profile.Kinds {
		want, err := generateSchema(kind, ".")
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
