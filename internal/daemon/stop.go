package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// errStopTimeout says that requests or background functions had not ended after StopTimeout.
var errStopTimeout = errors.New("not stopped within the stop timeout")

// announceStop begins a stop: it calls OnStopping and makes responses ask callers to close
// their connections. After a failure it also cancels the shutdown delay.
func (d *daemon) announceStop(failure error) {
	if failure != nil {
		d.config.ShutdownDelay = 0
	}
	if d.config.OnStopping != nil {
		d.config.OnStopping()
	}
	d.stopping.Store(true)
}

// stop runs the steps of a stop that follow announceStop, within StopTimeout and
// ShutdownDelay together.
func (d *daemon) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.config.StopTimeout+d.config.ShutdownDelay)
	defer cancel()
	d.callBeforeStop(ctx)
	if err := d.waitShutdownDelay(); err != nil {
		return errors.Join(err, d.stopServersAndBackground(ctx))
	}
	return d.stopServersAndBackground(ctx)
}

// waitShutdownDelay waits for ShutdownDelay while the daemon serves. It returns early, with
// the error, if a server or a background function fails.
func (d *daemon) waitShutdownDelay() error {
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

// stopServersAndBackground ends the requests, then the background functions. The error also
// includes a pending failure.
func (d *daemon) stopServersAndBackground(ctx context.Context) error {
	d.endRequests()
	err := d.shutDownServers(ctx)
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

// callBeforeStop calls BeforeStop and stops waiting for it after half of StopTimeout.
func (d *daemon) callBeforeStop(ctx context.Context) {
	if d.config.BeforeStop == nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, d.config.StopTimeout/2)
	defer cancel()
	if !waitFor(limited, func() { d.config.BeforeStop(limited) }) {
		d.config.Logger.Warn("hand-over did not end in time")
	}
}

// shutDownServers closes the listeners and waits for the requests, whose contexts are
// cancelled already. It closes the connections of requests that have not ended when a quarter
// of StopTimeout is left, which is reserved for the background functions.
func (d *daemon) shutDownServers(ctx context.Context) error {
	deadline, _ := ctx.Deadline()
	limited, cancel := context.WithDeadline(ctx, deadline.Add(-d.config.StopTimeout/4))
	defer cancel()
	d.connections.closeNew()
	var stopping errgroup.Group
	for _, server := range d.servers {
		stopping.Go(func() error { return server.Shutdown(limited) })
	}
	if err := stopping.Wait(); err != nil {
		for _, server := range d.servers {
			_ = server.Close() // err already reports the interrupted requests
		}
		return fmt.Errorf("requests: %w", errors.Join(errStopTimeout, err))
	}
	return nil
}

// waitFor reports whether work returned before the context ended. Otherwise work continues in
// its goroutine, which is acceptable because the process is about to exit.
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
