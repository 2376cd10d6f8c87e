package api

import (
	"encoding/json"
	"fmt"
	"time"
)

// Duration is a time.Duration whose JSON and YAML form is text, such as
// "250ms" or "1h30m".
type Duration time.Duration

// Std returns the value as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String returns the text form, such as "1.5s".
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is not a duration such as \"250ms\" or \"1h30m\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalJSON implements json.Unmarshaler. It accepts only a JSON string, since
// a number has no unit.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("%s is not a duration; expected text such as \"250ms\"", data)
	}
	return d.UnmarshalText([]byte(text))
}
