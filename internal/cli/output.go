package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode"
)

// Forms of a result.
const (
	outputFormatTable = "table"
	outputFormatJSON  = "json"
	outputFormatYAML  = "yaml"
)

var outputFormats = []string{outputFormatTable, outputFormatJSON, outputFormatYAML}

// checkOutputFormat checks the value of --output.
func checkOutputFormat(output string) error {
	if !slices.Contains(outputFormats, output) {
		return usageError("--output is %q, expected %s", output, strings.Join(outputFormats, ", "))
	}
	return nil
}

// print writes a result in the form that was asked for: a table, or the
// object of the API itself as one document.
func (a *app) print(result any, table func(io.Writer)) error {
	if a.flags.output == outputFormatTable {
		return a.write(table)
	}
	data, err := marshal(result)
	if err == nil && a.flags.output == outputFormatYAML {
		data, err = yamlFromJSON(data)
	}
	if err != nil {
		return fmt.Errorf("form the result: %w", err)
	}
	return a.write(func(writer io.Writer) { _, _ = writer.Write(data) })
}

// write hands out what render makes in one piece, so that a closed pipe is
// noticed once.
func (a *app) write(render func(io.Writer)) error {
	var buffer bytes.Buffer
	render(&buffer)
	if _, err := a.Out.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}

// marshal makes indented JSON with a line end.
func marshal(value any) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// printNotice writes a line for people beside the result.
func (a *app) printNotice(text string) { writeSanitizedLine(a.Err, text) }

// writeSanitizedLine writes one line; there is nowhere to report that it failed.
func writeSanitizedLine(writer io.Writer, text string) {
	_, _ = fmt.Fprintln(writer, sanitizeLine(text))
}

// sanitizeLine replaces line ends and other control characters, so that text from
// the fleet can neither break a line nor steer a terminal.
func sanitizeLine(text string) string {
	return strings.Map(func(character rune) rune {
		if unicode.IsControl(character) {
			return ' '
		}
		return character
	}, text)
}
