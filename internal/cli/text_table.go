package cli

import (
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/jedib0t/go-pretty/v6/text"
)

// textTable is a plain-text table without borders.
type textTable struct{ writer table.Writer }

// newTextTable returns an empty table with these columns; the header shows their
// names in upper case.
func newTextTable(columns ...string) *textTable {
	style := table.StyleLight
	style.Options = table.OptionsNoBordersAndSeparators
	style.Box.PaddingLeft = ""
	style.Box.PaddingRight = "  "
	style.Format.Header = text.FormatUpper
	style.Format.HeaderAlign = text.AlignLeft
	writer := table.NewWriter()
	writer.SetStyle(style)
	writer.SuppressTrailingSpaces()
	t := &textTable{writer: writer}
	t.writer.AppendHeader(tableRow(columns))
	return t
}

// add appends a row, with each value formatted by formatCell.
func (t *textTable) add(values ...any) {
	row := make([]string, len(values))
	for index, value := range values {
		row[index] = formatCell(value)
	}
	t.writer.AppendRow(tableRow(row))
}

// render writes the table.
func (t *textTable) render(writer io.Writer) {
	_, _ = fmt.Fprintln(writer, t.writer.Render())
}

// tableRow converts cells to a row of the table writer.
func tableRow(values []string) table.Row {
	row := make(table.Row, len(values))
	for index, value := range values {
		row[index] = value
	}
	return row
}
