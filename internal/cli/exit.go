package cli

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode"

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

// exitCodesHelp is the part of the help that names the codes.
const exitCodesHelp = `Exit codes:
  0  done
  1  something unexpected failed
  2  wrong flags or arguments, or a file that cannot be read
  3  refused by the fleet: invalid, impossible, conflict, lost race, not found
     or over a limit
  4  the fleet could not be asked, or the outcome is not known yet
  5  the job that was waited for ended failed or cancelled`

// failure is an error with its exit code.
type failure struct {
	code   int
	text   string
	fields []api.FieldError
	cause  error
}

// Error implements error: one line, without the fields.
func (f *failure) Error() string { return f.text }

// Unwrap returns the cause.
func (f *failure) Unwrap() error { return f.cause }

// usageError is a failure of what was typed.
func usageError(format string, values ...any) *failure {
	return &failure{code: ExitUsage, text: fmt.Sprintf(format, values...)}
}

// badFile is a failure of the content of a file.
func badFile(path string, cause error) *failure {
	result := &failure{code: ExitUsage, text: fmt.Sprintf("%s: %v", path, cause), cause: cause}
	var refusal *api.Error
	if errors.As(cause, &refusal) {
		result.text = fmt.Sprintf("%s: %s", path, refusal.Message)
		result.fields = refusal.Fields
	}
	return result
}

// callFailed is the failure of a call to the fleet; action says what was
// tried, such as "submit job swap-1".
func callFailed(action string, cause error) *failure {
	var refusal *api.Error
	if !errors.As(cause, &refusal) {
		return &failure{code: ExitFailed, text: fmt.Sprintf("%s: %v", action, cause), cause: cause}
	}
	text := fmt.Sprintf("%s: %s: %s", action, refusal.Code, refusal.Message)
	if refusal.RetryAfterMillis > 0 {
		pause := time.Duration(refusal.RetryAfterMillis) * time.Millisecond
		text += fmt.Sprintf(" (ask again in %v)", pause)
	}
	return &failure{code: codeOf(refusal), text: text, fields: refusal.Fields, cause: cause}
}

// codeOf is the exit code for an answer of the fleet.
func codeOf(refusal *api.Error) int {
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

// jobEnded is nil for a job that succeeded and a failure for one that ended
// otherwise.
func jobEnded(status api.JobStatus) error {
	if status.State == api.StateSucceeded {
		return nil
	}
	return &failure{code: ExitJobFailed, text: fmt.Sprintf("job %s ended %s", status.ID, status.State)}
}

// report writes each error as one line, and each wrong field as another.
func report(writer io.Writer, err error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, part := range joined.Unwrap() {
			report(writer, part)
		}
		return
	}
	printLine(writer, "decklever: "+err.Error())
	var failed *failure
	if !errors.As(err, &failed) {
		return
	}
	for _, field := range failed.fields {
		printLine(writer, "  "+describeField(field))
	}
}

// describeField says what is wrong with one field. The entry that says how
// many more there are has no field.
func describeField(field api.FieldError) string {
	if field.Field == "" {
		return strings.TrimSpace(field.Value + " " + field.Expected)
	}
	return fmt.Sprintf("%s is %q, expected %s", field.Field, field.Value, field.Expected)
}

// printLine writes one line; there is nowhere to report that it failed.
func printLine(writer io.Writer, text string) {
	_, _ = fmt.Fprintln(writer, oneLine(text))
}

// oneLine replaces line ends and other control characters, so that text from
// the fleet can neither break a line nor steer a terminal.
func oneLine(text string) string {
	return strings.Map(func(character rune) rune {
		if unicode.IsControl(character) {
			return ' '
		}
		return character
	}, text)
}
