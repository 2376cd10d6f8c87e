package fleet

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/decklever/decklever/api"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/operator"
)

const (
	readyPollInterval = 50 * time.Millisecond
	readyCallTimeout  = time.Second
	// firstOrderID is the id of the order that puts the first configuration.
	firstOrderID = "lab-first-configuration"
)

// WaitReady waits until every process that listens is ready, puts the deployment's
// configuration if none is in force, and waits until all workers are ready.
func (f *Fleet) WaitReady(ctx context.Context, operatorClient *operator.Operator) error {
	if err := f.waitListening(ctx); err != nil {
		return err
	}
	if err := f.putFirstConfig(ctx, operatorClient); err != nil {
		return err
	}
	return f.WaitWorkers(ctx, len(f.ByRole(deployment.RoleWorker)))
}

// waitListening waits until all processes except the workers, which do not listen, are
// ready.
func (f *Fleet) waitListening(ctx context.Context) error {
	for _, process := range f.processes {
		if process.Spec.Role == deployment.RoleWorker {
			continue
		}
		if err := process.WaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// WaitReady polls /readyz until the process is ready. It returns errNotRunning if the
// process has exited.
func (p *Process) WaitReady(ctx context.Context) error {
	var reason string
	err := waitUntil(ctx, func() bool {
		if p.PID() == 0 {
			reason = "it does not run"
			return true
		}
		reason = notReadyReason(ctx, p.Spec.URL()+"/readyz")
		return reason == ""
	})
	if err == nil && reason != "" {
		err = errNotRunning
	}
	if err != nil {
		return fmt.Errorf("%s is not ready: %s: %w", p.Spec.Name, reason, err)
	}
	return nil
}

// notReadyReason calls /readyz and returns why the process is not ready; empty if it is.
func notReadyReason(ctx context.Context, url string) string {
	ctx, cancel := context.WithTimeout(ctx, readyCallTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err.Error()
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return response.Status
	}
	return ""
}

// putFirstConfig puts the deployment's configuration unless one is already in force.
func (f *Fleet) putFirstConfig(ctx context.Context, operatorClient *operator.Operator) error {
	present, err := operatorClient.Read(ctx)
	if err != nil {
		return fmt.Errorf("read the configuration in force: %w", err)
	}
	if present.Version != 0 {
		return nil
	}
	if _, err := operatorClient.Put(ctx, present.Version, firstOrderID, f.config.Deployment.Config); err != nil {
		return fmt.Errorf("put the first configuration: %w", err)
	}
	return nil
}

// WaitWorkers waits until at least count workers are ready.
func (f *Fleet) WaitWorkers(ctx context.Context, count int) error {
	ready := 0
	err := waitUntil(ctx, func() bool {
		list, err := f.client.Workers(ctx)
		ready = 0
		for _, worker := range list.Workers {
			if worker.State == api.WorkerReady {
				ready++
			}
		}
		return err == nil && ready >= count
	})
	if err != nil {
		return fmt.Errorf("%d of %d workers are ready: %w", ready, count, err)
	}
	return nil
}

// waitUntil polls a condition until it is true. It returns an error if the context ends
// first.
func waitUntil(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(readyPollInterval)
	defer ticker.Stop()
	for {
		if condition() {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}
