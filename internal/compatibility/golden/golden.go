// Package golden compares what a test found with a file that an earlier commit
// of the sources wrote. It is for tests only. A test binary that uses it has
// the flag -update, whose value names the commit of the sources:
//
//	go test ./internal/compatibility/messages -update COMMIT
//
// The name is kept in the file MAKER beside the golden files. A file is written
// anew to add a line, never to make a changed one pass.
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

// permissions are those of the files written; the repository keeps its own.
const permissions = 0o600

var update = flag.String("update", "", "write the golden files anew; the value names the commit of the sources")

// Reporter is what is needed of a *testing.T.
type Reporter interface {
	Helper()
	Errorf(format string, values ...any)
	Fatal(values ...any)
}

// Values are what a golden file holds, by name. Neither names nor values may
// hold a tab or a line break.
type Values map[string]string

// Compare compares lines with those of the file at path, both ways, and reports
// each one that is missing, added or different.
func Compare(t Reporter, path string, found Values) {
	t.Helper()
	CompareExplained(t, path, found, func(value string) string { return value })
}

// CompareExplained is Compare for values that are not readable as they are;
// explain gives a value the form in which a difference is reported.
func CompareExplained(t Reporter, path string, found Values, explain func(string) string) {
	t.Helper()
	if *update != "" {
		write(t, path, format(found))
		return
	}
	want := parse(read(t, path))
	for _, name := range slices.Sorted(maps.Keys(want)) {
		value, exists := found[name]
		if !exists {
			t.Errorf("%s: %s is gone", path, name)
		} else if value != want[name] {
			t.Errorf("%s: %s changed\n got %s\nwant %s", path, name, explain(value), explain(want[name]))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(found)) {
		if _, exists := want[name]; !exists {
			t.Errorf("%s: %s is not in the file: %s", path, name, explain(found[name]))
		}
	}
}

// CompareText compares a whole text with the file at path, line by line.
func CompareText(t Reporter, path, found string) {
	t.Helper()
	if *update != "" {
		write(t, path, found)
		return
	}
	want, got := strings.Split(read(t, path), "\n"), strings.Split(found, "\n")
	for number := range max(len(want), len(got)) {
		wantText, gotText := entryAt(want, number), entryAt(got, number)
		if wantText != gotText {
			t.Errorf("%s:%d: the text differs from here on\n got %q\nwant %q", path, number+1, gotText, wantText)
			return
		}
	}
}

func entryAt(entries []string, index int) string {
	if index >= len(entries) {
		return "(end of the text)"
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
	if err := os.WriteFile(path, []byte(text), permissions); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(folder, "MAKER"), []byte(*update+"\n"), permissions); err != nil {
		t.Fatal(err)
	}
}
