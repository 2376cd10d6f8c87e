package cli

import (
	"net/http"

	"github.com/decklever/decklever/api"
)

// Exit codes of the command.
const (
	// ExitOK: the command succeeded.
	ExitOK = 0
	// ExitFailed: an unexpected failure, such as an internal error of the
	// fleet.
	ExitFailed = 1
	// ExitUsage: invalid flags or arguments, or a file that cannot be read,
	// decoded or written.
	ExitUsage = 2
	// ExitRefused: the fleet refused the request: invalid, impossible,
	// conflict, lost race, not found or over a limit.
	ExitRefused = 3
	// ExitUnavailable: the fleet was unavailable, the outcome is unknown, or
	// the awaited job or roll-out did not finish within --timeout. Sending
	// the same request again is safe.
	ExitUnavailable = 4
	// ExitJobFailed: the awaited job ended as failed or cancelled.
	ExitJobFailed = 5
)

// exitCodesHelp is the section of the help text that lists the exit codes.
const exitCodesHelp = `Exit codes:
  0  done
  1  something unexpected failed
  2  wrong flags or arguments, or a file that cannot be read
  3  refused by the fleet: invalid, impossible, conflict, lost race, not found
     or over a limit
  4  the fleet could not be asked, or the outcome is not known yet
  5  the job that was waited for ended failed or cancelled`

// exitCodeOf returns the exit code for an error that api.Client returned.
func exitCodeOf(apiError *api.Error) int {
	switch {
	case apiError.Code == api.CodeInternal:
		return ExitFailed
	case apiError.Status == http.StatusServiceUnavailable:
		return ExitUnavailable
	case apiError.Status >= 400 && apiError.Status < 500:
		return ExitRefused
	default:
		return ExitFailed
	}
}
