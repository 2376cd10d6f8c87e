package cli

import (
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestDiffLines_EditsRebuildBothTexts guards against missing or surplus lines:
// the lines that are not added must be the old text, and the lines that are not
// removed the new text.
func TestDiffLines_EditsRebuildBothTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 12)
		before, after := lines.Draw(t, "before"), lines.Draw(t, "after")
		var removed, added []string
		for _, entry := range diffLines(before, after) {
			if entry.kind != editAdded {
				removed = append(removed, entry.text)
			}
			if entry.kind != editRemoved {
				added = append(added, entry.text)
			}
		}
		if strings.Join(removed, "") != strings.Join(before, "") || strings.Join(added, "") != strings.Join(after, "") {
			t.Fatalf("edits from %v to %v: got %v and %v, want both texts", before, after, removed, added)
		}
	})
}

func TestUnifiedDiff_GroupsChangesIntoHunks(t *testing.T) {
	text := func(lines string) []byte { return []byte(strings.ReplaceAll(lines, " ", "\n") + "\n") }
	got := unifiedDiff("x", "y", text("1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16"), text("1 2 3 4 5 A 7 8 9 10 11 12 13 14 15"))
	want := "--- x\n+++ y\n@@ -3,7 +3,7 @@\n 3\n 4\n 5\n-6\n+A\n 7\n 8\n 9\n@@ -13,4 +13,3 @@\n 13\n 14\n 15\n-16\n"
	assertText(t, "two hunks", got, want)
	assertText(t, "from nothing", unifiedDiff("x", "y", nil, text("1 2")), "--- x\n+++ y\n@@ -0,0 +1,2 @@\n+1\n+2\n")
	assertText(t, "six lines between changes", unifiedDiff("x", "y", text("A 1 2 3 4 5 6 B"), text("C 1 2 3 4 5 6 D")),
		"--- x\n+++ y\n@@ -1,8 +1,8 @@\n-A\n+C\n 1\n 2\n 3\n 4\n 5\n 6\n-B\n+D\n")
	assertText(t, "seven lines between changes", unifiedDiff("x", "y", text("A 1 2 3 4 5 6 7 B"), text("C 1 2 3 4 5 6 7 D")),
		"--- x\n+++ y\n@@ -1,4 +1,4 @@\n-A\n+C\n 1\n 2\n 3\n@@ -6,4 +6,4 @@\n 5\n 6\n 7\n-B\n+D\n")
	assertText(t, "equal", unifiedDiff("x", "y", text("1"), text("1")), "")
}
