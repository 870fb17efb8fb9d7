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
	// ExitOK means that the command succeeded.
	ExitOK Code = 0
	// ExitFailed means that the command failed and changed nothing.
	ExitFailed Code = 1
	// ExitUsage means that the command line is wrong.
	ExitUsage Code = 2
	// ExitInvalid means that the configuration is invalid. Nothing was changed.
	ExitInvalid Code = 3
	// ExitConflict means that another operator changed the object first. Nothing
	// was changed.
	ExitConflict Code = 4
	// ExitUnknown means that it is unknown whether the change took effect.
	ExitUnknown Code = 5
	// ExitNotInForce means that the change was accepted, but some router did not
	// confirm it in time.
	ExitNotInForce Code = 6
	// ExitDiffers means that diff found differences.
	ExitDiffers Code = 7
	// ExitNotFound means that an object, change or VM does not exist.
	ExitNotFound Code = 8
	// ExitPartial means that apply made some changes and not others.
	ExitPartial Code = 9
)

// exitError is an error with the exit code of the command.
type exitError struct {
	code   Code
	err    error
	advice string // suggested next step for the operator
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func newExitError(code Code, advice, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...), advice: advice}
}

// classify returns the exit code and the advice for an error.
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

// checkAnswers returns an error if routers at some of the addresses did not answer. failed holds their errors by address,
// and advice says what the output lacks.
func checkAnswers(failed map[string]string, addrs []string, advice string) error {
	if len(failed) == 0 {
		return nil
	}
	return newExitError(ExitFailed, advice, "%d of %d routers did not answer", len(failed), len(addrs))
}
