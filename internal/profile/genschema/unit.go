package main

import (
	"reflect"

	"github.com/invopop/jsonschema"

	"github.com/parsleyfront/parsleyfront/internal/profile"
)

// textTypeSchema returns the schema of a type that is written as text, or nil for
// other types.
func textTypeSchema(t reflect.Type) *jsonschema.Schema {
	switch t {
	case reflect.TypeFor[profile.Duration]():
		return &jsonschema.Schema{Type: "string", Pattern: `^([0-9]+(\.[0-9]*)?(ms|s|m|h))+$`, Examples: []any{"1.9s"}}
	case reflect.TypeFor[profile.Size]():
		return &jsonschema.Schema{Type: "string", Pattern: `^[0-9]+(B|KiB|MiB|GiB)$`, Examples: []any{"1MiB"}}
	case reflect.TypeFor[profile.EngineRole]():
		return &jsonschema.Schema{Type: "string", Enum: []any{profile.EngineMixed, profile.EnginePrefill, profile.EngineDecode}}
	}
	return nil
}
