package cli

import (
	"fmt"
	"strings"
)

// diffContext is the number of unchanged lines shown before and after a change.
const diffContext = 3

// editKind says whether a line is in both texts, only in the old one or only in
// the new one. Its value is the character before the line in a unified diff.
type editKind byte

const (
	editUnchanged editKind = ' '
	editRemoved   editKind = '-'
	editAdded     editKind = '+'
)

// edit is one line of the old or the new text, with its kind.
type edit struct {
	kind editKind
	text string
}

// unifiedDiff returns the differences between two texts by line, in the unified
// format of diff -u. It returns an empty text if no line differs.
func unifiedDiff(oldName, newName string, oldText, newText []byte) string {
	edits := diffLines(splitLines(oldText), splitLines(newText))
	var text strings.Builder
	oldNumber, newNumber := 1, 1
	for start := 0; start < len(edits); {
		end, changed := hunkEnd(edits, start)
		if !changed {
			break
		}
		first := max(start, firstChange(edits, start)-diffContext)
		oldNumber, newNumber = oldNumber+first-start, newNumber+first-start
		writeHunk(&text, edits[first:end], &oldNumber, &newNumber)
		start = end
	}
	if text.Len() == 0 {
		return ""
	}
	return fmt.Sprintf("--- %s\n+++ %s\n%s", oldName, newName, text.String())
}

// splitLines splits a text into lines. A newline at the end does not start another
// line.
func splitLines(text []byte) []string {
	trimmed := strings.TrimSuffix(string(text), "\n")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "\n")
}

// diffLines returns the edits with the fewest changed lines, from the longest
// common subsequence. Dynamic programming over all pairs of lines is fast enough,
// since configurations are small.
func diffLines(before, after []string) []edit {
	// common[i][j] is the length of the longest common subsequence of
	// before[i:] and after[j:].
	common := make([][]int, len(before)+1)
	for i := range common {
		common[i] = make([]int, len(after)+1)
	}
	for i := len(before) - 1; i >= 0; i-- {
		for j := len(after) - 1; j >= 0; j-- {
			if before[i] == after[j] {
				common[i][j] = common[i+1][j+1] + 1
			} else {
				common[i][j] = max(common[i+1][j], common[i][j+1])
			}
		}
	}
	return editScript(before, after, common)
}

// editScript derives the edits from the lengths computed by diffLines. Where
// both orders are equally short, removed lines come before added lines.
func editScript(before, after []string, common [][]int) []edit {
	var edits []edit
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			edits = append(edits, edit{editUnchanged, before[i]})
			i, j = i+1, j+1
		case j == len(after) || i < len(before) && common[i+1][j] >= common[i][j+1]:
			edits = append(edits, edit{editRemoved, before[i]})
			i++
		default:
			edits = append(edits, edit{editAdded, after[j]})
			j++
		}
	}
	return edits
}

// firstChange returns the index of the first changed line at or after start, or
// len(edits) if there is none.
func firstChange(edits []edit, start int) int {
	for index := start; index < len(edits); index++ {
		if edits[index].kind != editUnchanged {
			return index
		}
	}
	return len(edits)
}

// hunkEnd returns the index after the next hunk that begins at or after start,
// and whether there is one. Changes separated by at most 2*diffContext unchanged
// lines belong to the same hunk.
func hunkEnd(edits []edit, start int) (end int, changed bool) {
	index := firstChange(edits, start)
	if index == len(edits) {
		return index, false
	}
	for {
		for index < len(edits) && edits[index].kind != editUnchanged {
			index++
		}
		next := firstChange(edits, index)
		if next == len(edits) || next-index > 2*diffContext {
			return min(index+diffContext, len(edits)), true
		}
		index = next
	}
}

// writeHunk writes one hunk and advances both line numbers past it.
func writeHunk(text *strings.Builder, hunk []edit, oldNumber, newNumber *int) {
	oldCount, newCount := 0, 0
	for _, entry := range hunk {
		if entry.kind != editAdded {
			oldCount++
		}
		if entry.kind != editRemoved {
			newCount++
		}
	}
	fmt.Fprintf(text, "@@ -%s +%s @@\n", formatHunkRange(*oldNumber, oldCount), formatHunkRange(*newNumber, newCount))
	for _, entry := range hunk {
		fmt.Fprintf(text, "%c%s\n", entry.kind, entry.text)
	}
	*oldNumber += oldCount
	*newNumber += newCount
}

// formatHunkRange formats a line range of a hunk's header. An empty range is given
// the number of the line before it.
func formatHunkRange(first, count int) string {
	if count == 0 {
		first--
	}
	return fmt.Sprintf("%d,%d", first, count)
}
