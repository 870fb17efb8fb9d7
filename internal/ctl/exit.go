package ctl

import (
	"context"

	"github.com/pkg/errors"

	"github.com/parsleyfront/parsleyfront/internal/profile"
	"github.com/parsleyfront/parsleyfront/internal/topo"
)

// Code is an exit code. Codes are stable: scripts match on them.
type Code int

// Exit codes.
const (
	// ExitOK is a command that did what it was asked to.
	ExitOK Code = 0
	// ExitFailed is a command that failed and changed nothing.
	ExitFailed Code = 1
	// ExitUsage is a wrong command line.
	ExitUsage Code = 2
	// ExitInvalid is configuration with mistakes. Nothing was changed.
	ExitInvalid Code = 3
	// ExitConflict is a change that lost to another operator's. Nothing was changed.
	ExitConflict Code = 4
	// ExitUnknown is a change of which it is unknown whether it took effect.
	ExitUnknown Code = 5
	// ExitNotInForce is an accepted change that some router did not confirm in time.
	ExitNotInForce Code = 6
	// ExitDiffers is a diff that found differences.
	ExitDiffers Code = 7
	// ExitNotFound is an object, change or VM that does not exist.
	ExitNotFound Code = 8
	// ExitPartial is an apply of which some changes were made and others not.
	ExitPartial Code = 9
)

// exitError is an error with the code with which the command ends.
type exitError struct {
	code   Code
	err    error
	advice string // what the operator can do now
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func newExitError(code Code, advice, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...), advice: advice}
}

// classify returns the code and the advice for an error.
func classify(err error) (Code, string) {
	var e *exitError
	var problems profile.Problems
	switch {
	case errors.As(err, &e):
		return e.code, e.advice
	case errors.As(err, &problems):
		return ExitInvalid, ""
	case errors.Is(err, topo.ErrNotFound):
		return ExitNotFound, ""
	case errors.Is(err, topo.ErrRefused), errors.Is(err, context.DeadlineExceeded):
		return ExitFailed, "nothing was changed; the platform did not serve the call, so try again later"
	default:
		return ExitFailed, ""
	}
}
