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

	"github.com/decklever/decklever/internal/requestcontext"
)

// maxHeaderBytes bounds the header of a request, in bytes.
const maxHeaderBytes = 64 << 10

// daemon is the state of one call of Run.
type daemon struct {
	config      Config
	servers     []*http.Server
	connections *connections
	// stopping is set when a stop begins. Responses then ask callers to close their
	// connections.
	stopping atomic.Bool

	// endRequests ends the contexts of all requests, with the cause
	// requestcontext.ErrStopping.
	endRequests   func()
	endBackground context.CancelFunc
	background    sync.WaitGroup
	// failures has room for one error: the first of a server or a background function.
	failures chan error
}

// Run listens and serves until SIGTERM, SIGINT, the end of the context, or a failure of a
// server or a background function. Then it stops in this order:
//
//  1. It calls OnStopping and BeforeStop.
//  2. It continues to serve for ShutdownDelay.
//  3. It cancels the contexts of all requests, closes the listeners, and waits for the
//     responses.
//  4. It cancels the context of the background functions and waits for them.
//
// It returns nil after a clean stop, and otherwise the failure, an error that says what had
// not ended within StopTimeout, or both.
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
		if each.OnListening != nil {
			each.OnListening(each.listener.Addr())
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
	requests, endRequests := context.WithCancelCause(ctx)
	background, endBackground := context.WithCancel(ctx)
	d := &daemon{
		config:        config,
		connections:   newConnections(config.MaxConnections, config.Logger),
		endRequests:   func() { endRequests(requestcontext.ErrStopping) },
		endBackground: endBackground,
		failures:      make(chan error, 1),
	}
	for _, each := range listening {
		server := d.newServer(requests, each.Handler)
		d.servers = append(d.servers, server)
		d.background.Go(func() { d.serve(server, each.listener) })
	}
	for _, task := range config.Background {
		d.background.Go(func() { d.runBackground(background, task) })
	}
	return d
}

func (d *daemon) newServer(requests context.Context, handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           d.closeWhenStopping(handler),
		ReadHeaderTimeout: d.config.ReadHeaderTimeout,
		ReadTimeout:       d.config.ReadTimeout,
		WriteTimeout:      d.config.WriteTimeout,
		IdleTimeout:       d.config.IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return requests },
		ConnState:         d.connections.onStateChange,
		ErrorLog:          slog.NewLogLogger(d.config.Logger.Handler(), slog.LevelWarn),
	}
}

// closeWhenStopping sets "Connection: close" on responses once a stop has begun, so that
// callers send no further request on the connection.
func (d *daemon) closeWhenStopping(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if d.stopping.Load() {
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

// runBackground runs a background function and reports its error. context.Canceled after
// the context ended is not an error.
func (d *daemon) runBackground(ctx context.Context, task func(context.Context) error) {
	err := task(ctx)
	if err == nil || (ctx.Err() != nil && errors.Is(err, context.Canceled)) {
		return
	}
	d.fail(err)
}

// fail reports a failure, which stops the daemon. While an earlier one is pending, it only
// logs the failure.
func (d *daemon) fail(err error) {
	select {
	case d.failures <- err:
	default:
		d.config.Logger.Error("another part failed", slog.Any("error", err))
	}
}

// wait blocks until the daemon has to stop. It returns the failure that is the cause, or nil
// if the context has ended.
func (d *daemon) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-d.failures:
		return err
	}
}
