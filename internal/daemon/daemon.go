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
)

// maxHeaderBytes bounds the header of a request.
const maxHeaderBytes = 64 << 10

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
