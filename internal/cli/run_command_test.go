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

// outcome is what one run of the command left.
type outcome struct {
	code     int
	out, err string
}

// runCommand runs the command against a front.
func runCommand(t *testing.T, front *fakeFront, input string, arguments ...string) outcome {
	t.Helper()
	var out, errs bytes.Buffer
	config := Config{In: strings.NewReader(input), Out: &out, Err: &errs, Location: time.UTC, completionTimeout: time.Minute}
	config.now = func() time.Time { return testNow }
	if front != nil {
		config.sleep = front.sleep
		config.Getenv = func(name string) string {
			if name != frontsVariable {
				t.Errorf("read %s", name)
			}
			return front.url
		}
	}
	code := Run(t.Context(), arguments, config)
	return outcome{code, out.String(), errs.String()}
}

// writeFile writes a file of the test and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// assertText fails with both texts unless they are the same.
func assertText(t *testing.T, what, got, want string) {
	t.Helper()
	if got != want {
		t.Errorf("%s:\n%s\nwant:\n%s", what, got, want)
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
