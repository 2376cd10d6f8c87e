package cli

import (
	"net/http"

	"github.com/decklever/decklever/api"
)

// Exit codes of the command.
const (
	// ExitOK: done.
	ExitOK = 0
	// ExitFailed: something unexpected failed.
	ExitFailed = 1
	// ExitUsage: wrong flags or arguments, or a file that cannot be read or
	// is not of the form expected.
	ExitUsage = 2
	// ExitRefused: the fleet refused: invalid, impossible, conflict, lost
	// race, not found or over a limit.
	ExitRefused = 3
	// ExitUnavailable: the fleet could not be asked, or the outcome is not
	// known; asking the same again is safe.
	ExitUnavailable = 4
	// ExitJobFailed: the job that was waited for ended failed or cancelled.
	ExitJobFailed = 5
)

// exitCodesHelp is the section of the help that lists the exit codes.
const exitCodesHelp = `Exit codes:
  0  done
  1  something unexpected failed
  2  wrong flags or arguments, or a file that cannot be read
  3  refused by the fleet: invalid, impossible, conflict, lost race, not found
     or over a limit
  4  the fleet could not be asked, or the outcome is not known yet
  5  the job that was waited for ended failed or cancelled`

// exitCodeOf returns the exit code for an error answer of the fleet.
func exitCodeOf(refusal *api.Error) int {
	switch {
	case refusal.Code == api.CodeInternal:
		return ExitFailed
	case refusal.Status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case refusal.Status >= 400 && refusal.Status < 500:
		return ExitRefused
	default:
		return ExitFailed
	}
}
