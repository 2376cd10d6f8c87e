package docs_test

import (
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	// namedTest matches a test, fuzz target or benchmark that a page names.
	namedTest = regexp.MustCompile(`\b(?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*`)
	// declaredTest matches the declaration of one.
	declaredTest = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Z][A-Za-z0-9_]*)\(`)
)

// TestPages_NameTestsThatExist: pages name tests as evidence, so a renamed or
// removed one must not stay on a page. CHANGELOG.md tells of the past.
func TestPages_NameTestsThatExist(t *testing.T) {
	declared := map[string]bool{}
	for _, path := range testFiles(t) {
		for _, match := range declaredTest.FindAllStringSubmatch(read(t, path), -1) {
			declared[match[1]] = true
		}
	}
	for _, page := range pages(t) {
		if filepath.Base(page) == "CHANGELOG.md" || strings.Contains(page, "journal") {
			continue
		}
		for _, name := range namedTest.FindAllString(read(t, page), -1) {
			if !declared[name] {
				t.Errorf("%s names %s, which does not exist", page, name)
			}
		}
	}
}

// testFiles lists the test files of the repository.
func testFiles(t *testing.T) []string {
	t.Helper()
	return filesEndingIn(t, "_test.go")
}
