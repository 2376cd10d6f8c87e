package cli

import (
	"fmt"
	"strings"
)

// diffContext is the number of unchanged lines around a change.
const diffContext = 3

// editKind says in which of two texts a line stands. Its value is the character
// before the line in a unified diff.
type editKind byte

const (
	lineKept    editKind = ' '
	lineRemoved editKind = '-'
	lineAdded   editKind = '+'
)

// edit is one line of a comparison.
type edit struct {
	kind editKind
	text string
}

// unifiedDiff compares two texts by lines, in the unified format of diff -u.
// It is empty if they are equal.
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

// splitLines splits a text that ends with a newline.
func splitLines(text []byte) []string {
	trimmed := strings.TrimSuffix(string(text), "\n")
	if trimmed == "" {
		return nil
	}
	return strings.Split(trimmed, "\n")
}

// diffLines returns the shortest list of edits by the longest common
// subsequence (dynamic programming over all pairs of lines, as configurations
// are small).
func diffLines(before, after []string) []edit {
	// common[i][j] is the length for before[i:] and after[j:].
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

// editScript reads the edits from the table of lengths, removed lines before
// added ones.
func editScript(before, after []string, common [][]int) []edit {
	var edits []edit
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case i < len(before) && j < len(after) && before[i] == after[j]:
			edits = append(edits, edit{lineKept, before[i]})
			i, j = i+1, j+1
		case j == len(after) || i < len(before) && common[i+1][j] >= common[i][j+1]:
			edits = append(edits, edit{lineRemoved, before[i]})
			i++
		default:
			edits = append(edits, edit{lineAdded, after[j]})
			j++
		}
	}
	return edits
}

// firstChange returns the index of the first changed line from start on, or
// the number of edits.
func firstChange(edits []edit, start int) int {
	for index := start; index < len(edits); index++ {
		if edits[index].kind != lineKept {
			return index
		}
	}
	return len(edits)
}

// hunkEnd returns where the next hunk ends: changes separated by at most two
// contexts of unchanged lines belong to one hunk.
func hunkEnd(edits []edit, start int) (end int, changed bool) {
	index := firstChange(edits, start)
	if index == len(edits) {
		return index, false
	}
	for {
		for index < len(edits) && edits[index].kind != lineKept {
			index++
		}
		next := firstChange(edits, index)
		if next == len(edits) || next-index > 2*diffContext {
			return min(index+diffContext, len(edits)), true
		}
		index = next
	}
}

// writeHunk writes one hunk and advances both line numbers.
func writeHunk(text *strings.Builder, hunk []edit, oldNumber, newNumber *int) {
	oldCount, newCount := 0, 0
	for _, one := range hunk {
		if one.kind != lineAdded {
			oldCount++
		}
		if one.kind != lineRemoved {
			newCount++
		}
	}
	fmt.Fprintf(text, "@@ -%s +%s @@\n", formatHunkRange(*oldNumber, oldCount), formatHunkRange(*newNumber, newCount))
	for _, one := range hunk {
		fmt.Fprintf(text, "%c%s\n", one.kind, one.text)
	}
	*oldNumber += oldCount
	*newNumber += newCount
}

// formatHunkRange formats a range of a hunk's header; an empty range names
// the line before it.
func formatHunkRange(first, count int) string {
	if count == 0 {
		first--
	}
	return fmt.Sprintf("%d,%d", first, count)
}
