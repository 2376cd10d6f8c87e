package settings

import (
	"errors"
	"strings"
	"testing"
)

// FuzzParse checks that parse never panics, that each error is one line and wraps ErrUsage,
// and that accepted settings satisfy their rules.
func FuzzParse(f *testing.F) {
	f.Add([]byte("name: control-1\nzone: z1\nlisten: 127.0.0.1:7100\nseeds: [127.0.0.1:7100]\ndata_dir: data\n"))
	f.Add([]byte("name: front-1\nzone: z1\nlisten: 0.0.0.0:7200\nadvertise: 127.0.0.1:7200\nseeds: [127.0.0.1:7100]\ndeadline: 2s\n"))
	f.Add([]byte("name: w\nagent: http://127.0.0.1:7300\ncapacity: {cpu_millis: 1}\nlabels: {a: b}\nservices: [sleep]\n"))
	f.Add([]byte("timing: {tick: 1s, lease: 1ms}\nlog.level: debug\nunknown: [{a: 1}]\n"))
	f.Add([]byte("a: &a [*a]\n"))
	f.Fuzz(func(t *testing.T, content []byte) {
		tryParse[Scheduler](t, content)
		tryParse[Front](t, content)
		tryParse[Agent](t, content)
		tryParse[Worker](t, content)
	})
}

func tryParse[T any](t *testing.T, content []byte) {
	t.Helper()
	value, err := parse[T]("file.yaml", content, nil)
	if err == nil {
		if problems := check(&value, nil); len(problems) > 0 {
			t.Fatalf("parse accepted settings with problems: got %+v, want none", problems)
		}
		return
	}
	if !errors.Is(err, ErrUsage) || strings.ContainsAny(err.Error(), "\r\n") {
		t.Fatalf("parse of %T: got error %q, want one line that wraps ErrUsage", value, err)
	}
}
