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
	// standardInput is the file name that means Config.In.
	standardInput = "-"
	// maxFileBytes bounds a file: more than the fleet takes in any case.
	maxFileBytes = 32 << 20
)

// readFile reads a YAML or JSON file into the struct that into points to. An
// unknown field is an error.
func (a *app) readFile(path string, into any) error {
	data, err := a.readAll(path)
	if err != nil {
		return fileError(path, err)
	}
	if !isJSON(path, data) {
		if data, err = jsonFromYAML(data); err != nil {
			return fileError(path, err)
		}
	}
	if refusal := api.DecodeStrict(bytes.NewReader(data), into); refusal != nil {
		return fileError(path, refusal)
	}
	return nil
}

func (a *app) readAll(path string) ([]byte, error) {
	if path == standardInput {
		return readBounded(a.In)
	}
	file, err := os.Open(path)
	if err != nil {
		var exitErr *os.PathError
		if errors.As(err, &exitErr) {
			err = exitErr.Err // the path is named in any case
		}
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return readBounded(file)
}

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

// isJSON goes by the name of the file and then by its content; most JSON is
// YAML as well, but its errors are named better as JSON.
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
