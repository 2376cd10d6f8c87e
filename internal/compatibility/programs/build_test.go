package programs

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// repository is the root of the sources, seen from this package.
const repository = "../../.."

// sources are the packages of the programs, by the programs' names.
var sources = map[string]string{
	"decklever":           "./cmd/decklever",
	"decklever-scheduler": "./cmd/decklever-scheduler",
	"decklever-front":     "./cmd/decklever-front",
	"decklever-agent":     "./cmd/decklever-agent",
	"decklever-worker":    "./cmd/decklever-worker",
	"decklever-platform":  "./platform/cmd/decklever-platform",
}

// binaries is the folder of the programs that TestMain built.
var binaries string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "decklever-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaries = folder
	code := 1
	if err := build(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build builds all programs into a folder.
func build(folder string) error {
	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, source := range sources {
		arguments = append(arguments, source)
	}
	command := exec.Command("go", arguments...)
	command.Dir = repository
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	return nil
}

// invocation is one run of a program.
type invocation struct {
	program   string
	arguments []string
	// folder is where the program runs.
	folder string
	// environment is added to an environment that is empty but for the time
	// zone.
	environment []string
}

// result is what a run left.
type result struct {
	code        int
	out, errors string
}

// run runs a program to its end.
func (i invocation) run(t *testing.T) result {
	t.Helper()
	var out, errs bytes.Buffer
	command := exec.CommandContext(t.Context(), filepath.Join(binaries, i.program), i.arguments...)
	command.Dir = i.folder
	command.Env = append([]string{"TZ=UTC"}, i.environment...)
	command.Stdout, command.Stderr = &out, &errs
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("%s %v: %v", i.program, i.arguments, err)
	}
	return result{code: command.ProcessState.ExitCode(), out: out.String(), errors: errs.String()}
}

// section is a result under the line that was typed, as golden files hold it.
func (i invocation) section(t *testing.T) string {
	t.Helper()
	got := i.run(t)
	var text strings.Builder
	fmt.Fprintf(&text, "$ %s\n%s", strings.Join(append([]string{i.program}, i.arguments...), " "), got.out)
	if got.errors != "" {
		fmt.Fprintf(&text, "[standard error]\n%s", got.errors)
	}
	fmt.Fprintf(&text, "[exit code %d]\n\n", got.code)
	return text.String()
}
