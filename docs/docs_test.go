package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const repository = ".."

var (
	// inlineLink matches [text](target), without titles, which no page uses.
	inlineLink = regexp.MustCompile(`\]\(([^()\s]+)\)`)
	heading    = regexp.MustCompile(`^#{1,6} +(.+?) *$`)
	// notInAnchor is what a heading loses when it becomes an anchor.
	notInAnchor = regexp.MustCompile(`[^\p{L}\p{N}\- _]`)
	absolute    = regexp.MustCompile(`^[a-z]+:`)
)

// skipped are folders whose files are not pages of this repository.
var skipped = map[string]bool{".git": true, "bin": true, "out": true, "testdata": true}

func TestRelativeLinksExist(t *testing.T) {
	links := 0
	for _, page := range pages(t) {
		for _, link := range inlineLink.FindAllStringSubmatch(prose(t, page), -1) {
			if absolute.MatchString(link[1]) {
				continue
			}
			links++
			checkLink(t, page, link[1])
		}
	}
	if links == 0 {
		t.Fatal("no page has a relative link; the pattern is wrong")
	}
}

// pages lists every Markdown file of the repository.
func pages(t *testing.T) []string {
	t.Helper()
	return filesEndingIn(t, ".md")
}

// filesEndingIn lists the files of the repository whose names end so, but for those in
// skipped folders.
func filesEndingIn(t *testing.T, ending string) []string {
	t.Helper()
	var found []string
	err := filepath.WalkDir(repository, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && skipped[entry.Name()] {
			return fs.SkipDir
		}
		if !entry.IsDir() && strings.HasSuffix(path, ending) {
			found = append(found, path)
		}
		return nil
	})
	must(t, err)
	return found
}

func checkLink(t *testing.T, page, link string) {
	t.Helper()
	file, anchor, _ := strings.Cut(link, "#")
	target := page
	if file != "" {
		target = filepath.Join(filepath.Dir(page), filepath.FromSlash(file))
	}
	if _, err := os.Stat(target); err != nil {
		t.Errorf("%s links to %s: %v", page, link, err)
		return
	}
	if anchor != "" && !anchors(t, target)[anchor] {
		t.Errorf("%s links to %s, which has no such heading", page, link)
	}
}

// anchors returns the anchors of a page's headings.
func anchors(t *testing.T, page string) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	for line := range strings.Lines(prose(t, page)) {
		if match := heading.FindStringSubmatch(strings.TrimRight(line, "\n")); match != nil {
			text := notInAnchor.ReplaceAllString(strings.ToLower(match[1]), "")
			found[strings.ReplaceAll(text, " ", "-")] = true
		}
	}
	return found
}

// prose returns a page without its code blocks.
func prose(t *testing.T, page string) string {
	t.Helper()
	var kept strings.Builder
	inCode := false
	for line := range strings.Lines(read(t, page)) {
		if strings.HasPrefix(strings.TrimSpace(line), "```") {
			inCode = !inCode
			continue
		}
		if !inCode {
			kept.WriteString(line)
		}
	}
	if inCode {
		t.Errorf("%s: a code block is not closed", page)
	}
	return kept.String()
}

func read(t *testing.T, path string) string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}
