package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"

	"github.com/decklever/decklever/testbed/calllog"
	"github.com/decklever/decklever/testbed/childprocess"
	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
)

// errNotRunning is returned for an action that needs a running process.
var errNotRunning = errors.New("process is not running")

// Process is one process of the fleet, over all its incarnations. The mutex guards the
// fields below it.
type Process struct {
	// Spec is the process as the deployment describes it.
	Spec deployment.Process

	// programs contains the path of the program of each version.
	programs [versionCount]string
	settings string
	logPath  string
	launcher *childprocess.Launcher
	callLog  *calllog.Log

	mutex sync.Mutex
	// version is the version that the next start uses.
	version     Version
	incarnation *incarnation // the latest one; nil before the first start
}

// incarnation is one start of a process.
type incarnation struct {
	command *exec.Cmd
	// ended is closed once the process has been reaped.
	ended chan struct{}
	// expected is true once the test bed has sent SIGTERM or SIGKILL.
	expected bool
}

// Start starts a new incarnation of the process; an error if one is running.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() != nil {
		return fmt.Errorf("start %s: it is already running", p.Spec.Name)
	}
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("open log of %s: %w", p.Spec.Name, err)
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(p.programs[p.version], "--settings", p.settings)
	command.Stdout, command.Stderr = log, log
	if err := p.launcher.Start(command); err != nil {
		return fmt.Errorf("start %s: %w", p.Spec.Name, err)
	}
	p.recordStart()
	p.incarnation = &incarnation{command: command, ended: make(chan struct{})}
	go p.reap(p.incarnation)
	return nil
}

// reap waits for the end of an incarnation and records its exit.
func (p *Process) reap(ending *incarnation) {
	_ = ending.command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.recordFault(calllog.ActionExit, ending.expected)
	close(ending.ended)
}

// running returns the running incarnation, or nil. The caller must hold the mutex.
func (p *Process) running() *incarnation {
	if p.incarnation == nil {
		return nil
	}
	select {
	case <-p.incarnation.ended:
		return nil
	default:
		return p.incarnation
	}
}

// recordStart records a start and its program in the call log. The caller must hold the
// mutex.
func (p *Process) recordStart() {
	now := monoclock.Now()
	p.callLog.Add(calllog.Entry{
		Kind: calllog.KindFault, Sent: now, Answered: now, Process: p.Spec.Name,
		Action: calllog.ActionStart, Program: p.programs[p.version], Expected: true,
	})
}

// recordFault records an action on the process in the call log.
func (p *Process) recordFault(action calllog.Action, expected bool) {
	now := monoclock.Now()
	p.callLog.Add(calllog.Entry{Kind: calllog.KindFault, Sent: now, Answered: now, Process: p.Spec.Name, Action: action, Expected: expected})
}

// PID returns the process id; 0 if the process is not running.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if current := p.running(); current != nil {
		return current.command.Process.Pid
	}
	return 0
}

// Kill ends the process at once, with SIGKILL.
func (p *Process) Kill() error { return p.signal(calllog.ActionKill, syscall.SIGKILL) }

// Terminate requests a graceful shutdown, with SIGTERM.
func (p *Process) Terminate() error { return p.signal(calllog.ActionTerminate, syscall.SIGTERM) }

// Freeze suspends the process, with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(calllog.ActionFreeze, syscall.SIGSTOP) }

// Resume continues a frozen process, with SIGCONT.
func (p *Process) Resume() error { return p.signal(calllog.ActionResume, syscall.SIGCONT) }

// signal records an action and sends its signal. It returns errNotRunning if the process
// is not running.
func (p *Process) signal(action calllog.Action, signal syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := p.running()
	if current == nil {
		return fmt.Errorf("%s %s: %w", action, p.Spec.Name, errNotRunning)
	}
	if action == calllog.ActionKill || action == calllog.ActionTerminate {
		current.expected = true
	}
	p.recordFault(action, true)
	err := current.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		err = errNotRunning
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", action, p.Spec.Name, err)
	}
	return nil
}

// Wait waits until the process is not running. It returns an error if the context ends
// first.
func (p *Process) Wait(ctx context.Context) error {
	p.mutex.Lock()
	current := p.running()
	p.mutex.Unlock()
	if current == nil {
		return nil
	}
	select {
	case <-current.ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the end of %s: %w", p.Spec.Name, ctx.Err())
	}
}

// Restart terminates the process, waits for its exit, and starts it again. A process that
// does not exit within stopTimeout is killed.
func (p *Process) Restart(ctx context.Context) error {
	if err := p.Terminate(); err != nil && !errors.Is(err, errNotRunning) {
		return err
	}
	if err := p.waitOrKill(ctx); err != nil {
		return err
	}
	return p.Start()
}

// waitOrKill waits for the exit of the process, and kills it if it is still running after
// stopTimeout.
func (p *Process) waitOrKill(ctx context.Context) error {
	graceCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if p.Wait(graceCtx) == nil {
		return nil
	}
	if err := p.Kill(); err != nil && !errors.Is(err, errNotRunning) {
		return err
	}
	return p.Wait(ctx)
}
