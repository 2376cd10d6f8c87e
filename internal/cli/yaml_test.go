package cli

import (
	"bytes"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/decklever/decklever/api"
)

func TestJSONFromYAML_PreservesValuesAsWritten(t *testing.T) {
	cases := []struct{ yaml, json string }{
		{"a: 2026-01-31\nb: 2026-01-31T14:00:00Z", `{"a":"2026-01-31","b":"2026-01-31T14:00:00Z"}`},
		{"a: 123456789012345678901234567890\nb: 0x10\nc: 1.50\nd: .5", `{"a":123456789012345678901234567890,"b":16,"c":1.50,"d":0.5}`},
		{"z: {}\na: []\nm: null\nn: ~\nt: true\ns: yes\nq: \"1\"", `{"z":{},"a":[],"m":null,"n":null,"t":true,"s":"yes","q":"1"}`},
		{"a: &x {k: [1, 2]}\nb: *x", `{"a":{"k":[1,2]},"b":{"k":[1,2]}}`},
	}
	for _, c := range cases {
		t.Run(c.yaml, func(t *testing.T) {
			got, err := jsonFromYAML([]byte(c.yaml))
			if err != nil || string(got) != c.json {
				t.Errorf("%s\ngot %s, error %v, want %s", c.yaml, got, err, c.json)
			}
		})
	}
}

// TestJSONFromYAML_AliasExpansionIsBounded guards against a small file that uses up
// the memory: nine aliases in each of nine levels expand to 9^9 values.
func TestJSONFromYAML_AliasExpansionIsBounded(t *testing.T) {
	var text strings.Builder
	text.WriteString("l0: &l0 \"" + strings.Repeat("x", 100) + "\"\n")
	for level := '1'; level <= '9'; level++ {
		alias := "*l" + string(level-1)
		text.WriteString("l" + string(level) + ": &l" + string(level) + " [" + strings.Repeat(alias+", ", 8) + alias + "]\n")
	}
	if _, err := jsonFromYAML([]byte(text.String())); err == nil || !strings.Contains(err.Error(), "too large") {
		t.Fatalf("got error %v, want too large", err)
	}
}

func TestYAMLFromJSON_PreservesControlCharacters(t *testing.T) {
	for _, want := range []string{`{"a":["\t\n"]}`, `{"a":["\n\ta\n"]}`, `{"a":[" \n"]}`, `{"a":["\u0001\r"]}`} {
		text, err := yamlFromJSON([]byte(want))
		if err != nil {
			t.Fatal(err)
		}
		got, err := jsonFromYAML(text)
		if err != nil || string(got) != want {
			t.Errorf("want %s after conversion to YAML and back, got %s, error %v", want, got, err)
		}
	}
}

func TestConfigYAML_RoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := api.Config{Queues: []api.QueueConfig{{Name: rapid.String().Draw(t, "name"), Weight: rapid.Int().Draw(t, "weight")}}}
		config.Drains.Zones = rapid.SliceOf(rapid.StringN(0, 8, -1)).Draw(t, "zones")
		config.Timings.Hold = api.Duration(rapid.Int64().Draw(t, "hold"))
		text, err := configYAML(config)
		if err != nil {
			t.Fatal(err)
		}
		data, err := jsonFromYAML(text)
		if err != nil {
			t.Fatalf("convert to JSON: %v in\n%s", err, text)
		}
		var decoded api.Config
		if refusal := api.DecodeStrict(bytes.NewReader(data), &decoded); refusal != nil || decoded.Digest() != config.Digest() {
			t.Fatalf("want %+v after conversion to YAML and back, got %+v, error %v", config, decoded, refusal)
		}
	})
}
