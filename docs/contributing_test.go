package docs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// namedFile matches the path of a Go file in code font.
var namedFile = regexp.MustCompile("`([a-z]+/[a-z_/]+\\.go)`")

// TestContributing_NamedFilesExist: the files that a contributor is sent to are there.
func TestContributing_NamedFilesExist(t *testing.T) {
	content, err := os.ReadFile(filepath.Join(repository, "CONTRIBUTING.md"))
	if err != nil {
		t.Fatal(err)
	}
	named := namedFile.FindAllSubmatch(content, -1)
	if len(named) == 0 {
		t.Fatal("CONTRIBUTING.md names no file")
	}
	for _, file := range named {
		if _, err := os.Stat(filepath.Join(repository, string(file[1]))); err != nil {
			t.Errorf("CONTRIBUTING.md names %s: %v", file[1], err)
		}
	}
}
