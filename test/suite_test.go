// Package test drives the shipped programs as separate processes over loopback.
package test

import (
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
