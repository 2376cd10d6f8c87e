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

// repositoryRoot is the root folder of the repository, relative to this package.
const repositoryRoot = "../../.."

// programPackages has the package of each program by the program's name.
var programPackages = map[string]string{
	"decklever":           "./cmd/decklever",
	"decklever-scheduler": "./cmd/decklever-scheduler",
	"decklever-front":     "./cmd/decklever-front",
	"decklever-agent":     "./cmd/decklever-agent",
	"decklever-worker":    "./cmd/decklever-worker",
	"decklever-platform":  "./platform/cmd/decklever-platform",
}

// binaryFolder is the temporary folder with the programs. TestMain builds them before
// the tests and removes the folder after them.
var binaryFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "decklever-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binaryFolder = folder
	code := 1
	if err := build(folder); err != nil {
		fmt.Fprintln(os.Stderr, err)
	} else {
		code = m.Run()
	}
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// build builds all programs into folder.
func build(folder string) error {
	arguments := []string{"build", "-o", folder + string(filepath.Separator)}
	for _, source := range programPackages {
		arguments = append(arguments, source)
	}
	command := exec.Command("go", arguments...)
	command.Dir = repositoryRoot
	if output, err := command.CombinedOutput(); err != nil {
		return fmt.Errorf("build the programs: %w\n%s", err, output)
	}
	return nil
}

// invocation is one run of a program.
type invocation struct {
	program   string
	arguments []string
	// folder is the working directory; empty means that of the test.
	folder string
	// environment has the variables as NAME=VALUE. Besides them, only TZ=UTC is
	// set.
	environment []string
}

// result is the exit code and the output of a program.
type result struct {
	exitCode       int
	stdout, stderr string
}

// run runs the program and waits until it exits.
func (i invocation) run(t *testing.T) result {
	t.Helper()
	var stdout, stderr bytes.Buffer
	command := exec.CommandContext(t.Context(), filepath.Join(binaryFolder, i.program), i.arguments...)
	command.Dir = i.folder
	command.Env = append([]string{"TZ=UTC"}, i.environment...)
	command.Stdout, command.Stderr = &stdout, &stderr
	err := command.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("%s %v: %v", i.program, i.arguments, err)
	}
	return result{exitCode: command.ProcessState.ExitCode(), stdout: stdout.String(), stderr: stderr.String()}
}

// section runs the program and returns its command line, output and exit code in the
// form of the golden files.
func (i invocation) section(t *testing.T) string {
	t.Helper()
	got := i.run(t)
	var text strings.Builder
	fmt.Fprintf(&text, "$ %s\n%s", strings.Join(append([]string{i.program}, i.arguments...), " "), got.stdout)
	if got.stderr != "" {
		fmt.Fprintf(&text, "[standard error]\n%s", got.stderr)
	}
	fmt.Fprintf(&text, "[exit code %d]\n\n", got.exitCode)
	return text.String()
}
