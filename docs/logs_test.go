package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// logRow matches a row of docs/LOGS.md, such as "| info | `listening` | ...".
var logRow = regexp.MustCompile("(?m)^\\| (debug|info|warn|error|debug or warn|warn, then debug) \\| `([^`]+)` \\|")

// messageAt is the place of the message among the arguments of each logging
// method.
var messageAt = map[string]int{"Debug": 0, "Info": 0, "Warn": 0, "Error": 0, "LogAttrs": 2}

// heartbeatMessages reach the log through one function of package worker.
var heartbeatMessages = []string{"heartbeat failed", "heartbeat answer discarded"}

func TestLogsPageListsWhatIsLogged(t *testing.T) {
	logged := loggedMessages(t)
	written := map[string]bool{}
	for _, row := range logRow.FindAllStringSubmatch(read(t, "LOGS.md"), -1) {
		written[row[2]] = true
		if logged[row[2]] == "" {
			t.Errorf("LOGS.md lists %q, which nothing logs", row[2])
		}
	}
	for message, file := range logged {
		if !written[message] {
			t.Errorf("LOGS.md has no row for %q of %s", message, file)
		}
	}
}

// loggedMessages returns the messages that the daemons log, with a file of each.
func loggedMessages(t *testing.T) map[string]string {
	t.Helper()
	logged := map[string]string{}
	for _, message := range heartbeatMessages {
		logged[message] = "worker/loop.go"
	}
	for _, folder := range []string{"cmd", "internal", "worker"} {
		collectMessages(t, filepath.Join(repository, folder), logged)
	}
	return logged
}

// collectMessages records the messages that the daemons' code below the folder
// logs, with the file of each.
func collectMessages(t *testing.T, folder string, logged map[string]string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if message, ok := loggedMessage(node); ok {
				logged[message] = path
			}
			return true
		})
		return nil
	})
	must(t, err)
}

// loggedMessage returns the message of a call such as logger.Info("message").
func loggedMessage(node ast.Node) (string, bool) {
	call, ok := node.(*ast.CallExpr)
	if !ok {
		return "", false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return "", false
	}
	place, ok := messageAt[method.Sel.Name]
	if !ok || len(call.Args) <= place {
		return "", false
	}
	literal, ok := call.Args[place].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	message, err := strconv.Unquote(literal.Value)
	return message, err == nil
}
