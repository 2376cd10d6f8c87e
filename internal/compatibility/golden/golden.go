// Package golden compares the values that a test computes with a golden file that
// was written with the sources of an earlier commit. Only tests import it. It adds
// the flag -update to their test binaries; the value names the commit of the
// sources:
//
//	go test ./internal/compatibility/messages -update COMMIT
//
// The commit is written to the file MAKER in the folder of the golden files. Rewrite
// a golden file only to add a line, never to make a test pass whose line changed.
package golden

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// fileMode is the mode of created files; an existing file keeps its mode.
const fileMode = 0o600

var update = flag.String("update", "", "rewrite the golden files; the value names the commit of the sources")

// Reporter has the methods of *testing.T that this package uses.
type Reporter interface {
	Helper()
	Errorf(format string, values ...any)
	Fatal(values ...any)
}

// Values are the values of a golden file by name. The file has one line for each,
// sorted by name: name, tab, value. Names and values must not contain a tab or a
// line break.
type Values map[string]string

// Compare compares got with the file at path, and reports each value that is
// missing, unexpected or different. With -update it writes the file instead.
func Compare(t Reporter, path string, got Values) {
	t.Helper()
	CompareExplained(t, path, got, func(value string) string { return value })
}

// CompareExplained is Compare for values that are hard to read, such as hex digits.
// Reports show the result of explain instead of the value.
func CompareExplained(t Reporter, path string, got Values, explain func(string) string) {
	t.Helper()
	if *update != "" {
		write(t, path, format(got))
		return
	}
	want := parse(read(t, path))
	for _, name := range slices.Sorted(maps.Keys(want)) {
		value, exists := got[name]
		if !exists {
			t.Errorf("%s: missing %s", path, name)
		} else if value != want[name] {
			t.Errorf("%s: %s differs\n got %s\nwant %s", path, name, explain(value), explain(want[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(got)) {
		if _, exists := want[name]; !exists {
			t.Errorf("%s: unexpected %s: %s", path, name, explain(got[name]))
		}
	}
}

// CompareText compares text with the file at path line by line, and reports the
// first line that differs. With -update it writes the file instead.
func CompareText(t Reporter, path, text string) {
	t.Helper()
	if *update != "" {
		write(t, path, text)
		return
	}
	want, got := strings.Split(read(t, path), "\n"), strings.Split(text, "\n")
	for number := range max(len(want), len(got)) {
		wantText, gotText := entryOrEnd(want, number), entryOrEnd(got, number)
		if wantText != gotText {
			t.Errorf("%s:%d: first difference\n got %q\nwant %q", path, number+1, gotText, wantText)
			return
		}
	}
}

func entryOrEnd(entries []string, index int) string {
	if index >= len(entries) {
		return "(end of file)"
	}
	return entries[index]
}

func format(values Values) string {
	var text strings.Builder
	for _, name := range slices.Sorted(maps.Keys(values)) {
		fmt.Fprintf(&text, "%s\t%s\n", name, values[name])
	}
	return text.String()
}

func parse(text string) Values {
	values := Values{}
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), "\t")
		values[name] = value
	}
	return values
}

func read(t Reporter, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func write(t Reporter, path, text string) {
	t.Helper()
	folder := filepath.Dir(path)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "MAKER"), []byte(*update+"\n"), fileMode); err != nil {
		t.Fatal(err)
	}
}
