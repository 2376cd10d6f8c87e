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

// Values of --output.
const (
	outputFormatTable = "table"
	outputFormatJSON  = "json"
	outputFormatYAML  = "yaml"
)

// outputFormats are the values that --output accepts.
var outputFormats = []string{outputFormatTable, outputFormatJSON, outputFormatYAML}

// checkOutputFormat validates --output.
func checkOutputFormat(output string) error {
	if !slices.Contains(outputFormats, output) {
		return usageError("--output is %q, expected %s", output, strings.Join(outputFormats, ", "))
	}
	return nil
}

// print writes a result in the format of --output: with renderTable, or encoded
// as one JSON or YAML document.
func (a *app) print(result any, renderTable func(io.Writer)) error {
	if a.flags.output == outputFormatTable {
		return a.write(renderTable)
	}
	data, err := marshal(result)
	if err == nil && a.flags.output == outputFormatYAML {
		data, err = yamlFromJSON(data)
	}
	if err != nil {
		return fmt.Errorf("encode the result: %w", err)
	}
	return a.write(func(writer io.Writer) { _, _ = writer.Write(data) })
}

// write renders into a buffer and sends it to Out in one write, so that an error
// such as a closed pipe is reported once.
func (a *app) write(render func(io.Writer)) error {
	var buffer bytes.Buffer
	render(&buffer)
	if _, err := a.Out.Write(buffer.Bytes()); err != nil {
		return fmt.Errorf("write the result: %w", err)
	}
	return nil
}

// marshal encodes a value as indented JSON with a trailing newline.
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

// printNotice writes one line to Err that is not part of the result.
func (a *app) printNotice(text string) { writeSanitizedLine(a.Err, text) }

// writeSanitizedLine writes the sanitized text and a newline. It ignores a write
// error, since the error output is where it would be reported.
func writeSanitizedLine(writer io.Writer, text string) {
	_, _ = fmt.Fprintln(writer, sanitizeLine(text))
}

// sanitizeLine replaces newlines and other control characters with spaces, so
// that text from the fleet cannot add lines or send terminal control sequences.
func sanitizeLine(text string) string {
	return strings.Map(func(character rune) rune {
		if unicode.IsControl(character) {
			return ' '
		}
		return character
	}, text)
}
