package cli

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"strings"
	"unicode"

	"go.yaml.in/yaml/v3"
)

// maxYAMLDepth is the maximum nesting depth. An alias to a node that contains the
// alias makes the nesting infinite. The size of expanded aliases is limited by
// maxFileBytes.
const maxYAMLDepth = 100

// YAML tags of scalars that have a JSON form.
const (
	tagText      = "!!str"
	tagInteger   = "!!int"
	tagFloat     = "!!float"
	tagBool      = "!!bool"
	tagNull      = "!!null"
	tagTimestamp = "!!timestamp"
)

// yamlFromJSON converts one JSON document to YAML, with the fields in the same
// order.
func yamlFromJSON(data []byte) ([]byte, error) {
	var document yaml.Node
	if err := yaml.Unmarshal(escapeNonASCII(data), &document); err != nil {
		return nil, err
	}
	resetStyle(&document)
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	encoder.SetIndent(2)
	if err := encoder.Encode(&document); err != nil {
		return nil, err
	}
	if err := encoder.Close(); err != nil {
		return nil, err
	}
	return buffer.Bytes(), nil
}

// escapeNonASCII replaces DEL and non-ASCII characters with YAML escapes, because
// YAML does not allow all of them unescaped. In JSON they occur only within
// strings, where escapes are valid.
func escapeNonASCII(data []byte) []byte {
	escaped := make([]byte, 0, len(data))
	for _, character := range string(data) {
		if character < unicode.MaxASCII {
			escaped = append(escaped, byte(character))
			continue
		}
		escaped = fmt.Appendf(escaped, `\U%08X`, character)
	}
	return escaped
}

// resetStyle clears the style of each node, so that the encoder chooses it. Empty
// lists and objects keep their style, since they have no other form. Scalars with
// control characters keep it too: the encoder would write some of them, such as
// "\t\n", as a block that cannot be read back.
func resetStyle(node *yaml.Node) {
	hasControl := node.Kind == yaml.ScalarNode && strings.ContainsFunc(node.Value, unicode.IsControl)
	if (node.Kind == yaml.ScalarNode || len(node.Content) > 0) && !hasControl {
		node.Style = 0
	}
	for _, child := range node.Content {
		resetStyle(child)
	}
}

// jsonFromYAML converts a file with exactly one YAML document to JSON. Unlike
// decoding into Go values, it preserves the digits of numbers and the text of
// dates as written.
func jsonFromYAML(data []byte) ([]byte, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var document, next yaml.Node
	err := decoder.Decode(&document)
	if errors.Is(err, io.EOF) {
		return nil, errors.New("the file is empty")
	}
	if err != nil {
		return nil, err
	}
	if err := decoder.Decode(&next); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one YAML document; expected one")
	}
	writer := jsonWriter{}
	if err := writer.node(document.Content[0], 0); err != nil {
		return nil, err
	}
	return writer.buffer.Bytes(), nil
}

// jsonWriter converts YAML nodes to JSON.
type jsonWriter struct{ buffer bytes.Buffer }

func (w *jsonWriter) node(node *yaml.Node, depth int) error {
	if depth > maxYAMLDepth || w.buffer.Len() > maxFileBytes {
		return yamlError(node, "too deep or, with its aliases, too large")
	}
	switch node.Kind {
	case yaml.AliasNode:
		return w.node(node.Alias, depth+1)
	case yaml.MappingNode:
		return w.object(node, depth)
	case yaml.SequenceNode:
		return w.list(node, depth)
	default:
		return w.scalar(node)
	}
}

func (w *jsonWriter) object(node *yaml.Node, depth int) error {
	seen := make(map[string]bool, len(node.Content)/2)
	w.buffer.WriteByte('{')
	for index := 0; index < len(node.Content); index += 2 {
		key, value := node.Content[index], node.Content[index+1]
		if key.Kind != yaml.ScalarNode || key.ShortTag() == "!!merge" {
			return yamlError(key, "keys must be plain text; merge keys are not supported")
		}
		if seen[key.Value] {
			return yamlError(key, fmt.Sprintf("the key %q stands twice", key.Value))
		}
		seen[key.Value] = true
		if index > 0 {
			w.buffer.WriteByte(',')
		}
		w.text(key.Value)
		w.buffer.WriteByte(':')
		if err := w.node(value, depth+1); err != nil {
			return err
		}
	}
	w.buffer.WriteByte('}')
	return nil
}

func (w *jsonWriter) list(node *yaml.Node, depth int) error {
	w.buffer.WriteByte('[')
	for index, element := range node.Content {
		if index > 0 {
			w.buffer.WriteByte(',')
		}
		if err := w.node(element, depth+1); err != nil {
			return err
		}
	}
	w.buffer.WriteByte(']')
	return nil
}

func (w *jsonWriter) scalar(node *yaml.Node) error {
	switch node.ShortTag() {
	case tagText, tagTimestamp:
		w.text(node.Value)
	case tagNull:
		w.buffer.WriteString("null")
	case tagBool:
		return w.boolean(node)
	case tagInteger:
		return w.integer(node)
	case tagFloat:
		return w.float(node)
	default:
		return yamlError(node, fmt.Sprintf("values of type %s have no JSON form", node.Tag))
	}
	return nil
}

func (w *jsonWriter) boolean(node *yaml.Node) error {
	var value bool
	if err := node.Decode(&value); err != nil {
		return yamlError(node, err.Error())
	}
	fmt.Fprint(&w.buffer, value)
	return nil
}

// integer writes a decimal number that is valid JSON as it is, and converts all
// others, such as other bases, to decimal.
func (w *jsonWriter) integer(node *yaml.Node) error {
	if json.Valid([]byte(node.Value)) {
		w.buffer.WriteString(node.Value)
		return nil
	}
	value, ok := new(big.Int).SetString(node.Value, 0)
	if !ok {
		return yamlError(node, fmt.Sprintf("%q is not a whole number", node.Value))
	}
	w.buffer.WriteString(value.String())
	return nil
}

// float writes a number that is valid JSON as it is, and converts all others.
// Infinity and NaN have no JSON form and give an error.
func (w *jsonWriter) float(node *yaml.Node) error {
	if json.Valid([]byte(node.Value)) {
		w.buffer.WriteString(node.Value)
		return nil
	}
	var value float64
	if err := node.Decode(&value); err != nil {
		return yamlError(node, err.Error())
	}
	data, err := json.Marshal(value)
	if err != nil {
		return yamlError(node, fmt.Sprintf("%s has no JSON form", node.Value))
	}
	w.buffer.Write(data)
	return nil
}

// text writes a JSON string. Encoding a string cannot fail.
func (w *jsonWriter) text(value string) {
	data, _ := json.Marshal(value)
	w.buffer.Write(data)
}

// yamlError returns an error about a node, with the node's line number.
func yamlError(node *yaml.Node, reason string) error {
	return fmt.Errorf("line %d: %s", node.Line, reason)
}
