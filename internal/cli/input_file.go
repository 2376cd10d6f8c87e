package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/decklever/decklever/api"
)

const (
	// standardInput is the file name that selects Config.In.
	standardInput = "-"
	// maxFileBytes bounds the size of a file. It is above the largest request
	// body that the fronts accept.
	maxFileBytes = 32 << 20
)

// readFile decodes a YAML or JSON file into the struct that target points to.
// Unknown fields are an error. All its errors are from fileError.
func (a *app) readFile(path string, target any) error {
	data, err := a.readAll(path)
	if err != nil {
		return fileError(path, err)
	}
	if !isJSON(path, data) {
		if data, err = jsonFromYAML(data); err != nil {
			return fileError(path, err)
		}
	}
	if decodeError := api.DecodeStrict(bytes.NewReader(data), target); decodeError != nil {
		return fileError(path, decodeError)
	}
	return nil
}

// readAll reads a file, or Config.In if path is standardInput.
func (a *app) readAll(path string) ([]byte, error) {
	if path == standardInput {
		return readBounded(a.In)
	}
	file, err := os.Open(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err // fileError adds the path
		}
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readBounded(file)
}

// readBounded reads until the end and returns an error if there are more than
// maxFileBytes.
func readBounded(reader io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(reader, maxFileBytes+1))
	if err != nil {
		return nil, err
	}
	if len(data) > maxFileBytes {
		return nil, fmt.Errorf("larger than %d bytes", maxFileBytes)
	}
	return data, nil
}

// isJSON reports whether a file is decoded as JSON: by its extension or, for
// any other name, if its content is valid JSON. Most JSON is also valid
// YAML, but decoding it as JSON gives better errors.
func isJSON(path string, data []byte) bool {
	switch filepath.Ext(path) {
	case ".json":
		return true
	case ".yaml", ".yml":
		return false
	default:
		return json.Valid(data)
	}
}
