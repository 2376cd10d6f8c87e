package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"
)

// Defaults of Config.
const (
	defaultStopTimeout       = 2 * time.Second
	defaultReadHeaderTimeout = 5 * time.Second
	defaultReadTimeout       = 30 * time.Second
	// defaultWriteTimeout exceeds defaultReadTimeout plus the longest long poll.
	defaultWriteTimeout = 120 * time.Second
	defaultIdleTimeout  = 120 * time.Second
)

// Config configures a daemon. Of the durations and counts, zero means the default.
type Config struct {
	// Listen is the IP:port to listen on. Required.
	Listen string
	// Handler serves all requests. Required.
	Handler http.Handler
	// Logger logs starts, stops and failures. Default: discard.
	Logger *slog.Logger
	// Background functions run from the start until the daemon cancels their context, at
	// the end of a stop. A non-nil error before that stops the daemon; a nil one does not.
	Background []func(ctx context.Context) error
	// WrapListener wraps the listener on Listen, but not those of ExtraListeners. Optional.
	WrapListener func(net.Listener) net.Listener
	// ExtraListeners are served beside Listen, and start and stop with it.
	ExtraListeners []Listener
	// OnStopping is called first when a stop begins, so that the process can report itself
	// as not ready. Optional; it must not block.
	OnStopping func()
	// BeforeStop hands over the process's duties. It is called after OnStopping, while the
	// daemon still serves; its context ends after half of StopTimeout. Optional.
	BeforeStop func(ctx context.Context)
	// ShutdownDelay is how long the daemon continues to serve after BeforeStop, so that
	// callers can switch to another process. It is skipped if the daemon stops because of
	// a failure. Default 0.
	ShutdownDelay time.Duration
	// StopTimeout bounds the complete stop, not counting ShutdownDelay. Default 2s.
	StopTimeout time.Duration
	// OnListening is called with the bound address once the daemon listens. Optional.
	OnListening func(address net.Addr)

	// ReadHeaderTimeout bounds reading a request's header, and ReadTimeout reading the
	// complete request; the connection of a slower sender is closed. Defaults 5s and 30s.
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	// WriteTimeout bounds a request from the end of its header to the end of its response,
	// so that a caller that does not read its response cannot block a handler for longer.
	// It must exceed the longest long poll. Default 2m.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a keep-alive connection.
	// Default 2m.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections of all listeners together. At the limit,
	// a new connection replaces the one idle for longest, or is closed if none is idle.
	// It is lowered to what the process's limit on file descriptors allows. Default: what
	// that limit allows, up to 4096.
	MaxConnections int
	// DescriptorsPerConnection is the most file descriptors that one connection's request
	// uses, including the connection itself. Default 1.
	DescriptorsPerConnection int
}

// withDefaults returns the configuration with the defaults of all fields that are not set,
// except MaxConnections, which boundConnections sets.
func (c Config) withDefaults() Config {
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	c.DescriptorsPerConnection = max(c.DescriptorsPerConnection, 1)
	for _, setting := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.StopTimeout, defaultStopTimeout},
		{&c.ReadHeaderTimeout, defaultReadHeaderTimeout},
		{&c.ReadTimeout, defaultReadTimeout},
		{&c.WriteTimeout, defaultWriteTimeout},
		{&c.IdleTimeout, defaultIdleTimeout},
	} {
		if *setting.value <= 0 {
			*setting.value = setting.fallback
		}
	}
	return c
}
