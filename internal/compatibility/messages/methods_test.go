package messages

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/decklever/decklever/internal/compatibility/golden"
)

// protocolFolder is the folder of package protocol, which declares all RPC methods.
const protocolFolder = "../../protocol"

// checkAllMethods reports each declared RPC method without a recorded call.
func checkAllMethods(t *testing.T, recorded golden.Values) {
	t.Helper()
	called := map[string]bool{}
	for name := range recorded {
		path, _, _ := strings.Cut(name, " ")
		called[strings.TrimPrefix(path, "/rpc/")] = true
	}
	for _, method := range declaredMethods(t) {
		if !called[method] {
			t.Errorf("method %q has no recorded call", method)
		}
	}
}

// declaredMethods returns the values of the constants in protocolFolder whose names
// begin with "Method".
func declaredMethods(t *testing.T) []string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(protocolFolder, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var methods []string
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if method, ok := methodOf(t, node); ok {
				methods = append(methods, method)
			}
			return true
		})
	}
	if len(methods) == 0 {
		t.Fatalf("found no constant Method... with a string value in %s, want at least one", protocolFolder)
	}
	return methods
}

// methodOf returns the value of a constant such as MethodRaft = "raft", and false for
// any other node.
func methodOf(t *testing.T, node ast.Node) (string, bool) {
	t.Helper()
	constant, ok := node.(*ast.ValueSpec)
	if !ok || len(constant.Values) != 1 || !strings.HasPrefix(constant.Names[0].Name, "Method") {
		return "", false
	}
	literal, ok := constant.Values[0].(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(literal.Value)
	if err != nil {
		t.Fatal(err)
	}
	return value, true
}
