// Package test drives the shipped programs as separate processes over loopback.
package test

import (
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
)

var daemonPath, standinPath, ctlPath string // paths of the built programs

func TestWholePath(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1 // the same order of specs in each run
	// The Makefile sets a regular expression of the specs that KNOWN-RED.txt lists.
	if specs := os.Getenv("KNOWN_RED_SPECS"); specs != "" {
		suite.SkipStrings = append(suite.SkipStrings, specs)
	}
	RunSpecs(t, "whole path", suite, reporter)
}

var _ = BeforeSuite(func() {
	var err error
	daemonPath, err = gexec.Build("github.com/parsleyfront/parsleyfront/cmd/parsleyd")
	Expect(err).NotTo(HaveOccurred())
	ctlPath, err = gexec.Build("github.com/parsleyfront/parsleyfront/cmd/parsleyctl")
	Expect(err).NotTo(HaveOccurred())
	standinPath, err = gexec.Build("github.com/parsleyfront/parsleyfront/cmd/parsleystandin")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)
