// Package experiment compares policies on a modelled pool. A file describes the pool, its callers,
// surges and faults, the policies and the seeds. Each policy is simulated with each seed in
// virtual time (package model), and the results are written as lines of JSON and as an HTML
// report with plots.
//
// Package benchtool uses it. It runs at most one goroutine per processor at a time and starts
// nothing else.
package experiment

import (
	"bytes"
	"io"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/model"
	"github.com/parsleyfront/parsleyfront/internal/policy"
)

// File is the file of an experiment.
type File struct {
	Name     string       `yaml:"name"`
	About    string       `yaml:"about"` // purpose of the experiment
	Seeds    []uint64     `yaml:"seeds"`
	Policies []Policy     `yaml:"policies"`
	Model    model.Config `yaml:"model"`
}

// Policy is a policy to compare with the others.
type Policy struct {
	Name    string `yaml:"name"`
	Without string `yaml:"without"` // mechanisms that are switched off, separated by commas
}

// Read reads and validates an experiment. Unknown fields are errors that give the line.
func Read(r io.Reader) (*File, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, errors.Wrap(err, "read the experiment")
	}
	var f File
	if err := yaml.NewDecoder(bytes.NewReader(b), yaml.Strict()).Decode(&f); err != nil {
		return nil, errors.Wrap(err, "experiment")
	}
	return &f, f.validate()
}

func (f *File) validate() error {
	switch {
	case f.Name == "":
		return errors.New("name: is missing")
	case len(f.Seeds) == 0:
		return errors.New("seeds: write one at least")
	case len(f.Policies) == 0:
		return errors.New("policies: write one at least")
	}
	names := make(map[string]bool)
	for i, p := range f.Policies {
		if p.Name == "" || names[p.Name] {
			return errors.Errorf("policies[%d]: name is missing or not the only one", i)
		}
		names[p.Name] = true
		if _, err := policy.Without(p.Without); err != nil {
			return errors.Wrapf(err, "policies[%d].without", i)
		}
	}
	return errors.Wrap(f.Model.Validate(), "model")
}
