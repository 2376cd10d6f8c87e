package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// commandResult is the exit code and the output of one execution of the command.
type commandResult struct {
	code     int
	out, err string
}

// runCommand executes the command with input as standard input and, unless front
// is nil, with front as the only front.
func runCommand(t *testing.T, front *fakeFront, input string, arguments ...string) commandResult {
	t.Helper()
	var out, errs bytes.Buffer
	config := Config{In: strings.NewReader(input), Out: &out, Err: &errs, Location: time.UTC, completionTimeout: time.Minute}
	config.now = func() time.Time { return testNow }
	if front != nil {
		config.sleep = front.sleep
		config.Getenv = func(name string) string {
			if name != frontsVariable {
				t.Errorf("got a read of environment variable %s, want only DECKLEVER_FRONTS", name)
			}
			return front.url
		}
	}
	code := Run(t.Context(), arguments, config)
	return commandResult{code, out.String(), errs.String()}
}

// writeFile writes a file into a temporary folder of the test and returns its
// path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// assertText reports an error with both texts unless they are equal.
func assertText(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got:\n%s\nwant:\n%s", what, got, want)
	}
}

func jsonOf(value any) string {
	data, err := json.MarshalIndent(value, "", "  ")
	return fmt.Sprintf("%s\n%s", data, errorText(err))
}

func errorText(err error) string {
	if err != nil {
		return err.Error()
	}
	return ""
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
