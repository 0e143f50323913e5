package ctl

import (
	"errors"

	"github.com/cumincove/cumincove/api"
	"github.com/cumincove/cumincove/code"
)

// The exit codes. Scripts may rely on them.
const (
	ExitOK = 0
	// ExitRefused means that the system refused the request with a result code;
	// nothing was done.
	ExitRefused = 1
	// ExitUsage means that the command line or a file is invalid; nothing was
	// sent.
	ExitUsage = 2
	// ExitUnreachable means that no instance could be reached; nothing was done.
	ExitUnreachable = 3
	// ExitUnknown means that the response was lost, or that it reports an
	// unknown outcome. The change may have been made: check the state before
	// retrying. Errors that no other exit code covers have this one too, such as
	// a log file that trace can't read.
	ExitUnknown = 4
	// ExitNotInForce means that the change was accepted but is not yet in force
	// where it has to be: a configuration change was not in force everywhere
	// within the time of --wait, or the withdrawal of a key was not in force at
	// a majority of the instances.
	ExitNotInForce = 5
)

const exitHelp = `Exit codes:
  0  done
  1  refused with a result code; nothing was done (see "explain CODE")
  2  the command line or a file is invalid; nothing was sent
  3  no instance could be reached; nothing was done
  4  the outcome is unknown; check the state before retrying
  5  accepted, but not yet in force everywhere`

var (
	errUsage       = errors.New("invalid usage")
	errUnreachable = errors.New("no instance could be reached")
	errUnknown     = errors.New("outcome unknown; check the state before retrying")
	errNotInForce  = errors.New("accepted, but not yet in force everywhere")
)

// exitCode returns the exit code for err.
func exitCode(err error) int {
	var remote *api.RemoteError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.Is(err, errUnreachable):
		return ExitUnreachable
	case errors.Is(err, errNotInForce):
		return ExitNotInForce
	case errors.As(err, &remote) && remote.Body.Effect == string(code.NotRun):
		return ExitRefused
	default:
		return ExitUnknown
	}
}
