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
	for _, page := range []string{"CONTRIBUTING.md", "docs/notes/first-change.md"} {
		t.Run(page, func(t *testing.T) { checkNamedFiles(t, page) })
	}
}

func checkNamedFiles(t *testing.T, page string) {
	t.Helper()
	content, err := os.ReadFile(filepath.Join(repository, page))
	if err != nil {
		t.Fatal(err)
	}
	named := namedFile.FindAllSubmatch(content, -1)
	if len(named) == 0 {
		t.Fatal("the page names no file")
	}
	for _, file := range named {
		if _, err := os.Stat(filepath.Join(repository, string(file[1]))); err != nil {
			t.Errorf("%s names %s: %v", page, file[1], err)
		}
	}
}
