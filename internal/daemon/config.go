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
	// defaultWriteTimeout is longer than a read of the body and the longest
	// held request together.
	defaultWriteTimeout = 120 * time.Second
	defaultIdleTimeout  = 120 * time.Second
)

// Config describes a daemon.
type Config struct {
	// Listen is the IP:port to listen on. Required.
	Listen string
	// Handler serves all requests. Required.
	Handler http.Handler
	// Logger takes starts, stops and failures. Default: none.
	Logger *slog.Logger
	// Background functions run from the start until their context ends. An
	// error that one returns before stops the daemon.
	Background []func(ctx context.Context) error
	// Wrap changes the listener on Listen before it is served. Optional.
	Wrap func(net.Listener) net.Listener
	// Extra listeners serve beside Listen, from the same start to the same stop.
	Extra []Listener
	// Stopping is called first when the daemon is told to stop, so that it no
	// longer calls itself ready. Optional; it must not block.
	Stopping func()
	// BeforeStop hands over; it is called after Stopping and has half of
	// StopTimeout. Optional.
	BeforeStop func(ctx context.Context)
	// ShutdownDelay is how long the daemon goes on serving after it handed over,
	// so that callers can leave it first. A failed part stops the daemon without
	// it. Default 0.
	ShutdownDelay time.Duration
	// StopTimeout bounds the whole stop besides ShutdownDelay. Default 2s.
	StopTimeout time.Duration
	// Listening is told the address once it is listened on. Optional.
	Listening func(address net.Addr)

	// ReadHeaderTimeout and ReadTimeout bound the reading of a request's header
	// and of a whole request; a slower sender is cut off. Defaults 5s and 30s.
	ReadHeaderTimeout time.Duration
	ReadTimeout       time.Duration
	// WriteTimeout bounds a request from its header to the end of its answer,
	// so that a caller that does not read its answer holds nothing for longer.
	// It must be longer than any held request. Default 2m.
	WriteTimeout time.Duration
	// IdleTimeout bounds the wait for the next request on a connection.
	// Default 2m.
	IdleTimeout time.Duration
	// MaxConnections bounds the open connections of all listeners together.
	// Beyond it a new one takes the place of the one that is idle for longest, or
	// is closed if none is idle. It is lowered to what the process's descriptors
	// allow. Default: that, up to 4096.
	MaxConnections int
	// DescriptorsPerConnection is how many descriptors a request under way can
	// take, its own connection included. Default 1.
	DescriptorsPerConnection int
}

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
