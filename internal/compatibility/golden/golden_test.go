package golden

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// recorder is a Reporter that stores the reports. Unlike (*testing.T).Fatal, its
// Fatal returns.
type recorder struct{ reports []string }

func (r *recorder) Helper() {}

func (r *recorder) Errorf(format string, values ...any) {
	r.reports = append(r.reports, fmt.Sprintf(format, values...))
}

func (r *recorder) Fatal(values ...any) { r.Errorf("fatal: %s", fmt.Sprint(values...)) }

// firstLinesWithout returns the first line of each report, without the folder of the file.
func (r *recorder) firstLinesWithout(folder string) []string {
	var first []string
	for _, report := range r.reports {
		firstRow, _, _ := strings.Cut(report, "\n")
		first = append(first, strings.ReplaceAll(firstRow, folder+string(filepath.Separator), ""))
	}
	return first
}

func writeTestFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(path, []byte(content), fileMode); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestCompare_ReportsEachDifference(t *testing.T) {
	path := writeTestFile(t, "values.txt", "changed\told\ngone\tvalue\nsame\tvalue\n")
	reporter := &recorder{}
	Compare(reporter, path, Values{"same": "value", "changed": "new", "added": "value"})
	want := []string{"values.txt: changed differs", "values.txt: missing gone", "values.txt: unexpected added: value"}
	if got := reporter.firstLinesWithout(filepath.Dir(path)); !slices.Equal(got, want) {
		t.Errorf("got reports %q, want %q", got, want)
	}
}

func TestCompare_MissingFileIsFatal(t *testing.T) {
	reporter := &recorder{}
	Compare(reporter, filepath.Join(t.TempDir(), "missing.txt"), Values{})
	if len(reporter.reports) != 1 || !strings.HasPrefix(reporter.reports[0], "fatal: ") {
		t.Errorf("got reports %q, want one fatal report", reporter.reports)
	}
}

func TestCompareText_ReportsFirstDifference(t *testing.T) {
	for name, test := range map[string]struct{ found, want string }{
		"same":      {"a\nb\n", ""},
		"changed":   {"a\nc\n", "text.txt:2: first difference"},
		"shortened": {"a", "text.txt:2: first difference"},
		"extended":  {"a\nb\nc\n", "text.txt:3: first difference"},
	} {
		t.Run(name, func(t *testing.T) {
			path := writeTestFile(t, "text.txt", "a\nb\n")
			reporter := &recorder{}
			CompareText(reporter, path, test.found)
			got := strings.Join(reporter.firstLinesWithout(filepath.Dir(path)), "; ")
			if got != test.want {
				t.Errorf("got reports %q, want %q", got, test.want)
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
			t.Errorf("%s: got content %q, want %q; error %v", name, content, want, err)
		}
	}
}
