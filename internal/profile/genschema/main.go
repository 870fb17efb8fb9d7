// Command genschema writes the JSON Schema of each kind of configuration
// object, generated from the types of package profile. Editors use the schemas to
// complete and check YAML files. The schemas do not contain all rules; a file is valid
// if package profile accepts it. The command must run in the folder of package
// profile, as it does under go generate.
package main

import (
	"encoding/json"
	"log"
	"os"
	"path/filepath"

	"github.com/invopop/jsonschema"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

const (
	packagePath    = "github.com/parsleyfront/parsleyfront/internal/profile"
	schemaIDPrefix = "urn:parsleyfront:schema:"
	fileSuffix     = ".schema.json"
)

func main() {
	if len(os.Args) != 2 {
		log.Fatal("usage: genschema DIRECTORY")
	}
	for _, kind := range profile.Kinds {
		text, err := generateSchema(kind, ".")
		if err != nil {
			log.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(os.Args[1], string(kind)+fileSuffix), text, 0o644); err != nil {
			log.Fatal(err)
		}
	}
}

// generateSchema returns the JSON Schema of kind. Its descriptions are the doc comments
// of package profile, whose source is in dir.
func generateSchema(kind topo.Kind, dir string) ([]byte, error) {
	r := jsonschema.Reflector{ExpandedStruct: true, FieldNameTag: "json", Mapper: textTypeSchema}
	if err := r.AddGoComments(packagePath, dir); err != nil {
		return nil, err
	}
	s := r.Reflect(profile.New(kind))
	s.ID = jsonschema.ID(schemaIDPrefix + string(kind))
	s.Properties.Set("kind", &jsonschema.Schema{Const: string(kind)})
	s.Required = append([]string{"kind"}, requiredFields(kind)...)
	if err := setDefaults(s, kind); err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(s, "", "  ")
	return append(text, '\n'), err
}

// setDefaults adds the default values of fields to the schema. Required fields and keys
// have none: their zero values, which the encoded object contains, are not defaults.
func setDefaults(s *jsonschema.Schema, kind topo.Kind) error {
	text, err := profile.Encode(profile.New(kind))
	if err != nil {
		return err
	}
	var defaults map[string]any
	if err := json.Unmarshal(text, &defaults); err != nil {
		return err
	}
	for _, name := range append(requiredFields(kind), "keys") {
		delete(defaults, name)
	}
	for name, value := range defaults {
		if property, ok := s.Properties.Get(name); ok {
			property.Default = value
		}
	}
	return nil
}

// requiredFields returns the fields, other than kind, that an object of a kind must set.
func requiredFields(kind topo.Kind) []string {
	switch kind {
	case topo.KindProfile:
		return []string{"name", "pool", "deadline"}
	case topo.KindOrganisation:
		return []string{"name", "profiles"}
	}
	return []string{"name"}
}
