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

func TestBoundConnections_ByDescriptors(t *testing.T) {
	cases := []struct {
		name          string
		requested     int
		perConnection int
		descriptors   uint64
		want          int
		warned        bool
	}{
		{"many descriptors", 0, 1, 1 << 20, 4096, false},
		{"no limit on descriptors", 0, 2, math.MaxUint64, 4096, false},
		{"limit of the users' platform", 0, 1, 3900, 3644, false},
		{"platform limit, two per connection", 0, 2, 3900, 1822, false},
		{"configured, far below the limit", 10_000, 1, 1 << 20, 10_000, false},
		{"configured, exactly at the limit", 3644, 1, 3900, 3644, false},
		{"configured, one above the limit", 3645, 1, 3900, 3644, true},
		{"few descriptors", 0, 2, 256, 64, false},
		{"3 descriptors", 0, 2, 3, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var log bytes.Buffer
			config := Config{
				MaxConnections: c.requested, DescriptorsPerConnection: c.perConnection, Logger: slog.New(slog.NewTextHandler(&log, nil)),
			}
			if got := config.withDefaults().boundConnections(c.descriptors).MaxConnections; got != c.want {
				t.Errorf("got MaxConnections %d, want %d", got, c.want)
			}
			if warned := strings.Contains(log.String(), "fewer connections than asked for"); warned != c.warned {
				t.Errorf("got log %q, want a warning in it: %v", log.String(), c.warned)
			}
		})
	}
}

func TestOpenFileLimit_IsRead(t *testing.T) {
	if limit := openFileLimit(); limit < 3 {
		t.Errorf("got a limit of %d descriptors, want at least 3: standard input, output and error", limit)
	}
}

// The limit counts the connections of all listeners together: at the limit, a new
// connection to one address replaces an idle one to another address.
func TestConnections_LimitSpansListeners(t *testing.T) {
	const limit = 2
	addresses := make(chan string, 1)
	extra := Listener{
		Address: "127.0.0.1:0", Handler: http.NotFoundHandler(),
		OnListening: func(address net.Addr) { addresses <- address.String() },
	}
	d := startDaemon(t, Config{Handler: http.NotFoundHandler(), MaxConnections: limit, ReadHeaderTimeout: waitTimeout, ExtraListeners: []Listener{extra}})
	other := <-addresses
	_, first := dial(t, other)
	_, second := dial(t, other)
	if got := <-get(d.address); got != http.StatusNotFound {
		t.Errorf("request at the limit of idle connections: got status %d, want 404", got)
	}
	waitClosed(t, "one of the idle connections is closed", firstClosed(first, second))
}

// firstClosed returns a channel that is closed once one of the two is closed.
func firstClosed(first, second <-chan struct{}) <-chan struct{} {
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
