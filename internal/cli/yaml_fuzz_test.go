package cli

import (
	"encoding/json"
	"reflect"
	"testing"
)

// FuzzJSONFromYAML guards against panics on any file, and against a conversion
// that succeeds with invalid JSON.
func FuzzJSONFromYAML(f *testing.F) {
	f.Add([]byte("queue: q\nsteps:\n  - name: a\n    not_before: 2031-02-03T04:05:06Z\n    tasks: [{service: s, payload: {n: 0x1f, f: 1.5e3, b: yes, none: ~}}]\n"))
	f.Add([]byte("a: &a [x, x]\nb: &b [*a, *a]\nc: [*b, *b]\n"))
	f.Add([]byte("a: &a {b: *a}\n"))
	f.Add([]byte("? [key]\n: value\n"))
	f.Add([]byte("a: 1\na: 2\n"))
	f.Add([]byte("- .inf\n- .nan\n- 1_000\n- 0o17\n- !!binary aGk=\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		converted, err := jsonFromYAML(data)
		if err != nil {
			return
		}
		if !json.Valid(converted) {
			t.Fatalf("converting %q: got %q, want valid JSON", data, converted)
		}
	})
}

// FuzzYAMLFromJSON guards against a change of meaning: a JSON object, as a server
// encodes it, must be unchanged after conversion to YAML and back.
func FuzzYAMLFromJSON(f *testing.F) {
	f.Add([]byte(`{"queue":"q","steps":[{"name":"a","tasks":[]}],"n":1.5,"t":true,"none":null}`))
	f.Add([]byte(`{"a":"yes","b":"1","c":"2031-02-03","d":"\u2028\u0085 # x: y","e":"","f":" lead","g":"a\nb\n"}`))
	f.Add([]byte(`{"a":["~","null","0x1f",1e3,-0.5,12345678901234567890,1e-9]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var want map[string]any
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		encoded, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		converted, err := yamlFromJSON(encoded)
		if err != nil {
			t.Fatalf("convert %s to YAML: %v", encoded, err)
		}
		roundTripped, err := jsonFromYAML(converted)
		if err != nil {
			t.Fatalf("convert %s to YAML %q and back: %v", encoded, converted, err)
		}
		var got map[string]any
		if err := json.Unmarshal(roundTripped, &got); err != nil || !reflect.DeepEqual(want, got) {
			t.Fatalf("want %s after conversion to YAML %q and back, got %s", encoded, converted, roundTripped)
		}
	})
}
