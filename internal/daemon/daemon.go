package daemon

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
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

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

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

// errStopTimeout: something was still at work when StopTimeout had passed.
var errStopTimeout = errors.New("not stopped within the stop timeout")

// daemon is one run.
type daemon struct {
	config      Config
	servers     []*http.Server
	connections *connections
	// leaving: answers ask callers to close their connections.
	leaving atomic.Bool

	endRequests   context.CancelFunc
	endBackground context.CancelFunc
	background    sync.WaitGroup
	// failures takes the first error of the server or a background function.
	failures chan error
}

// Run listens, serves, and stops in order on SIGTERM, SIGINT, the end of the
// context, or a failure of a part: Stopping and BeforeStop; ShutdownDelay, with
// all served as before; then no more connections, the contexts of all requests
// end and their answers are finished; then the background. It returns nil after
// a clean stop, else the part's error or that StopTimeout was not enough.
func Run(ctx context.Context, config Config) error {
	config = config.withDefaults().boundConnections(openFileLimit())
	ctx, stopSignals := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stopSignals()
	listening, err := listenOnAll(ctx, config)
	if err != nil {
		return err
	}
	d := start(context.WithoutCancel(ctx), config, listening)
	for _, each := range listening {
		config.Logger.Info("listening", slog.String("address", each.listener.Addr().String()))
		if each.Listening != nil {
			each.Listening(each.listener.Addr())
		}
	}
	err = d.wait(ctx)
	config.Logger.Info("stopping")
	d.announceStop(err)
	err = errors.Join(err, d.stop(ctx))
	if err != nil {
		return err
	}
	config.Logger.Info("stopped")
	return nil
}

func start(ctx context.Context, config Config, listening []openListener) *daemon {
	requests, endRequests := context.WithCancel(ctx)
	background, endBackground := context.WithCancel(ctx)
	d := &daemon{
		config:        config,
		connections:   newConnections(config.MaxConnections, config.Logger),
		endRequests:   endRequests,
		endBackground: endBackground,
		failures:      make(chan error, 1),
	}
	for _, each := range listening {
		server := d.newServer(requests, each.Handler)
		d.servers = append(d.servers, server)
		d.background.Go(func() { d.serve(server, each.listener) })
	}
	for _, part := range config.Background {
		d.background.Go(func() { d.runPart(background, part) })
	}
	return d
}

func (d *daemon) newServer(requests context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           d.closeWhenLeaving(handler),
		ReadHeaderTimeout: d.config.ReadHeaderTimeout,
		ReadTimeout:       d.config.ReadTimeout,
		WriteTimeout:      d.config.WriteTimeout,
		IdleTimeout:       d.config.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnState:         d.connections.note,
		ErrorLog:          slog.NewLogLogger(d.config.Logger.Handler(), slog.LevelWarn),
	}
}

// closeWhenLeaving asks callers of a daemon that is about to stop to close
// their connections, so that they send nothing more on them.
func (d *daemon) closeWhenLeaving(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if d.leaving.Load() {
			writer.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(writer, request)
	})
}

func (d *daemon) serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		d.fail(fmt.Errorf("serve: %w", err))
	}
}

func (d *daemon) runPart(ctx context.Context, part func(context.Context) error) {
	err := part(ctx)
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return
	}
	d.fail(err)
}

// fail keeps the first failure.
func (d *daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
		d.config.Logger.Error("another part failed", slog.Any("error", err))
	}
}

// wait returns the failure that ends the daemon, or nil if it is told to stop.
func (d *daemon) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failures:
		return err
	}
}

// announceStop tells that the daemon is about to stop.
func (d *daemon) announceStop(failure error) {
	if failure != nil {
		d.config.ShutdownDelay = 0
	}
	if d.config.Stopping != nil {
		d.config.Stopping()
	}
	d.leaving.Store(true)
}

// stop takes the daemon down in order.
func (d *daemon) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.config.StopTimeout+d.config.ShutdownDelay)
	defer cancel()
	d.handOver(ctx)
	if err := d.linger(); err != nil {
		return errors.Join(err, d.stopParts(ctx))
	}
	return d.stopParts(ctx)
}

// linger goes on serving for ShutdownDelay, or until a part fails.
func (d *daemon) linger() error {
	if d.config.ShutdownDelay <= 0 {
		return nil
	}
	timer := time.NewTimer(d.config.ShutdownDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case err := <-d.failures:
		return err
	}
}

// stopParts finishes the requests and ends the background.
func (d *daemon) stopParts(ctx context.Context) error {
	d.endRequests()
	err := d.stopServing(ctx)
	d.endBackground()
	if !waitFor(ctx, d.background.Wait) {
		err = errors.Join(err, fmt.Errorf("background: %w", errStopTimeout))
	}
	select {
	case failure := <-d.failures:
		err = errors.Join(err, failure)
	default:
	}
	return err
}

// handOver calls BeforeStop and goes on without it at its bound.
func (d *daemon) handOver(ctx context.Context) {
	if d.config.BeforeStop == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, d.config.StopTimeout/2)
	defer cancel()
	if !waitFor(limited, func() { d.config.BeforeStop(limited) }) {
		d.config.Logger.Warn("hand-over did not end in time")
	}
}

// stopServing finishes the requests, whose contexts have ended. It leaves a
// quarter of the stop timeout to the background.
func (d *daemon) stopServing(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	limited, cancel := context.WithDeadline(ctx, deadline.Add(-d.config.StopTimeout/4))
	defer cancel()
	d.connections.closeFresh()
	var stopping errgroup.Group
	for _, server := range d.servers {
		stopping.Go(func() error { return server.Shutdown(limited) })
	}
	if err := stopping.Wait(); err != nil {
		for _, server := range d.servers {
			_ = server.Close() // the requests that are cut off are reported by err
		}
		return fmt.Errorf("requests: %w", errors.Join(errStopTimeout, err))
	}
	return nil
}

// waitFor reports whether work ended before the context did. Work that does
// not end is left behind, as the process is about to exit.
func waitFor(ctx context.Context, work func()) bool {
	done := make(chan struct{})
	go func() {
		defer close(done)
		work()
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}
