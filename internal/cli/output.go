package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
)

// Forms of a result.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

var outputs = []string{outputTable, outputJSON, outputYAML}

// checkOutput checks the value of --output.
func checkOutput(output string) error {
	if !slices.Contains(outputs, output) {
		return usageError("--output is %q, expected %s", output, strings.Join(outputs, ", "))
	}
	return nil
}

// print writes a result in the form that was asked for: a table, or the
// object of the API itself as one document.
func (a *app) print(result any, table func(io.Writer)) error {
	if a.flags.output == outputTable {
		return a.write(table)
	}
	data, err := marshal(result)
	if err == nil && a.flags.output == outputYAML {
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
