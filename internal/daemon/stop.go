package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// errStopTimeout: something was still at work when StopTimeout had passed.
var errStopTimeout = errors.New("not stopped within the stop timeout")

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
