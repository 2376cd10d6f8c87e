package daemon

import (
	"bytes"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
)

func TestConnectionsAreBoundByDescriptors(t *testing.T) {
	cases := []struct {
		name          string
		asked         int
		perConnection int
		descriptors   uint64
		want          int
		warned        bool
	}{
		{"many descriptors", 0, 1, 1 << 20, 4096, false},
		{"no limit on descriptors", 0, 2, math.MaxUint64, 4096, false},
		{"those of the users' platform", 0, 1, 3900, 3644, false},
		{"the same for a process that relays", 0, 2, 3900, 1822, false},
		{"asked for and possible", 10_000, 1, 1 << 20, 10_000, false},
		{"just possible", 3644, 1, 3900, 3644, false},
		{"asked for and too many", 3645, 1, 3900, 3644, true},
		{"few descriptors", 0, 2, 256, 64, false},
		{"hardly any descriptors", 0, 2, 3, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log bytes.Buffer
			config := Config{
				MaxConnections: c.asked, DescriptorsPerConnection: c.perConnection, Logger: slog.New(slog.NewTextHandler(&log, nil)),
			}
			if got := config.withDefaults().boundConnections(c.descriptors).MaxConnections; got != c.want {
				t.Errorf("bound to %d, want %d", got, c.want)
			}
			if warned := strings.Contains(log.String(), "fewer connections than asked for"); warned != c.warned {
				t.Errorf("logged %q, want a warning %v", log.String(), c.warned)
			}
		})
	}
}

func TestProcessHasADescriptorLimit(t *testing.T) {
	if limit := openFileLimit(); limit < 3 {
		t.Errorf("a limit of %d descriptors, with three open", limit)
	}
}

// TestListenersShareTheBound: a connection to one address makes way for one to
// another.
func TestListenersShareTheBound(t *testing.T) {
	const limit = 2
	addresses := make(chan string, 1)
	extra := Listener{
		Address: "127.0.0.1:0", Handler: http.NotFoundHandler(),
		Listening: func(address net.Addr) { addresses <- address.String() },
	}
	d := run(t, Config{Handler: http.NotFoundHandler(), MaxConnections: limit, ReadHeaderTimeout: patience, Extra: []Listener{extra}})
	other := <-addresses
	_, first := dial(t, other)
	_, second := dial(t, other)
	if got := <-get(d.address); got != http.StatusNotFound {
		t.Errorf("a request among silent connections was answered %d", got)
	}
	wait(t, "one of the silent connections is closed", either(first, second))
}

// either is closed once one of the two is.
func either(first, second <-chan struct{}) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-first:
		case <-second:
		}
	}()
	return done
}
