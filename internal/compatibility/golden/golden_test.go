package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// recorder keeps what was reported.
type recorder struct{ reports []string }

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, values ...any) {
	r.reports = append(r.reports, fmt.Sprintf(format, values...))
}

func (r *recorder) Fatal(values ...any) { r.Errorf("fatal: %s", fmt.Sprint(values...)) }

// reportsOf drops the lines behind the first of each report, and the folder.
func (r *recorder) reportsOf(folder string) []string {
	var first []string
	for _, report := range r.reports {
		line, _, _ := strings.Cut(report, "\n")
		first = append(first, strings.ReplaceAll(line, folder+string(filepath.Separator), ""))
	}
	return first
}

func writeTestFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), permissions); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCompare_ReportsEachDifference(t *testing.T) {
	path := writeTestFile(t, "values.txt", "changed\told\ngone\tvalue\nsame\tvalue\n")
	found := &recorder{}
	Compare(found, path, Values{"same": "value", "changed": "new", "added": "value"})
	want := []string{"values.txt: changed changed", "values.txt: gone is gone", "values.txt: added is not in the file: value"}
	if got := found.reportsOf(filepath.Dir(path)); !slices.Equal(got, want) {
		t.Errorf("reports %q, want %q", got, want)
	}
}

func TestCompare_MissingFileIsFatal(t *testing.T) {
	found := &recorder{}
	Compare(found, filepath.Join(t.TempDir(), "missing.txt"), Values{})
	if len(found.reports) != 1 || !strings.HasPrefix(found.reports[0], "fatal: ") {
		t.Errorf("reports %q, want one that is fatal", found.reports)
	}
}

func TestCompareText_ReportsFirstDifference(t *testing.T) {
	for name, test := range map[string]struct{ found, want string }{
		"same":      {"a\nb\n", ""},
		"changed":   {"a\nc\n", "text.txt:2: the text differs from here on"},
		"shortened": {"a", "text.txt:2: the text differs from here on"},
		"extended":  {"a\nb\nc\n", "text.txt:3: the text differs from here on"},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeTestFile(t, "text.txt", "a\nb\n")
			found := &recorder{}
			CompareText(found, path, test.found)
			got := strings.Join(found.reportsOf(filepath.Dir(path)), "; ")
			if got != test.want {
				t.Errorf("reports %q, want %q", got, test.want)
			}
		})
	}
}

func TestCompare_UpdateWritesFileAndMaker(t *testing.T) {
	*update = "0123abc"
	t.Cleanup(func() { *update = "" })
	folder := filepath.Join(t.TempDir(), "testdata")
	Compare(t, filepath.Join(folder, "values.txt"), Values{"b": "2", "a": "1"})
	for name, want := range map[string]string{"values.txt": "a\t1\nb\t2\n", "MAKER": "0123abc\n"} {
		content, err := os.ReadFile(filepath.Join(folder, name))
		if err != nil || string(content) != want {
			t.Errorf("%s holds %q, want %q, error %v", name, content, want, err)
		}
	}
}
