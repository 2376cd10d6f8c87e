package messages

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

var update = flag.String("update", "", "write the golden files anew; the value names the commit of the sources")

// golden is one file of the form "NAME<tab>CONTENT", a line each, by name.
type golden struct {
	path  string
	lines map[string]string
}

// compareGolden compares all lines with those of a file in testdata, both ways,
// or writes them there. explain gives a line's content a form to read.
func compareGolden(t *testing.T, file string, lines map[string]string, explain func(string) string) {
	t.Helper()
	path := filepath.Join("testdata", file)
	if *update != "" {
		writeGolden(t, golden{path, lines})
		return
	}
	want := readGolden(t, path)
	for _, name := range slices.Sorted(maps.Keys(want.lines)) {
		got, exists := lines[name]
		if !exists {
			t.Errorf("%s: %s is gone", file, name)
		} else if got != want.lines[name] {
			t.Errorf("%s: %s changed\n got %s\nwant %s", file, name, explain(got), explain(want.lines[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(lines)) {
		if _, exists := want.lines[name]; !exists {
			t.Errorf("%s: %s is not in the file", file, name)
		}
	}
}

func writeGolden(t *testing.T, written golden) {
	t.Helper()
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(written.lines)) {
		fmt.Fprintf(&text, "%s\t%s\n", name, written.lines[name])
	}
	if err := os.WriteFile(written.path, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	maker := filepath.Join("testdata", "MAKER")
	if err := os.WriteFile(maker, []byte(*update+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readGolden(t *testing.T, path string) golden {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	read := golden{path, map[string]string{}}
	for line := range strings.Lines(string(content)) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		read.lines[name] = value
	}
	return read
}
