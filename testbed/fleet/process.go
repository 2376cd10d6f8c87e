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

// errNotRunning is returned for an action on a process that does not run.
var errNotRunning = errors.New("process is not running")

// Process is one process of the fleet, over all of its incarnations. The mutex guards
// the fields below it.
type Process struct {
	// Spec is what the deployment says of it.
	Spec deployment.Process

	// programs are the paths of the program, by version.
	programs [versionCount]string
	settings string
	logPath  string
	launcher *childprocess.Launcher
	callLog  *calllog.Log

	mutex sync.Mutex
	// version is that of the next start.
	version     Version
	incarnation *incarnation
}

// incarnation is one start of a process.
type incarnation struct {
	command *exec.Cmd
	// ended is closed once the process was reaped.
	ended chan struct{}
	// expected is true once the test bed signalled the process to end.
	expected bool
}

// Start starts the process.
func (p *Process) Start() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.running() != nil {
		return fmt.Errorf("start %s: it already runs", p.Spec.Name)
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

// reap waits for the end of an incarnation and records it.
func (p *Process) reap(one *incarnation) {
	_ = one.command.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.recordFault(calllog.ActionExit, one.expected)
	close(one.ended)
}

// running returns the present incarnation, or nil. The mutex must be held.
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

// recordStart also records the program. The mutex must be held.
func (p *Process) recordStart() {
	now := monoclock.Now()
	p.callLog.Add(calllog.Entry{
		Kind: calllog.KindFault, Sent: now, Answered: now, Process: p.Spec.Name,
		Action: calllog.ActionStart, Program: p.programs[p.version], Expected: true,
	})
}

func (p *Process) recordFault(action calllog.Action, expected bool) {
	now := monoclock.Now()
	p.callLog.Add(calllog.Entry{Kind: calllog.KindFault, Sent: now, Answered: now, Process: p.Spec.Name, Action: action, Expected: expected})
}

// PID returns the process id; 0 if the process does not run.
func (p *Process) PID() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if one := p.running(); one != nil {
		return one.command.Process.Pid
	}
	return 0
}

// Kill ends the process at once, with SIGKILL.
func (p *Process) Kill() error { return p.signal(calllog.ActionKill, syscall.SIGKILL) }

// Terminate asks for a graceful shutdown, with SIGTERM.
func (p *Process) Terminate() error { return p.signal(calllog.ActionTerminate, syscall.SIGTERM) }

// Freeze stops the process from running, with SIGSTOP.
func (p *Process) Freeze() error { return p.signal(calllog.ActionFreeze, syscall.SIGSTOP) }

// Resume lets a frozen process run on.
func (p *Process) Resume() error { return p.signal(calllog.ActionResume, syscall.SIGCONT) }

func (p *Process) signal(action calllog.Action, signal syscall.Signal) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	one := p.running()
	if one == nil {
		return fmt.Errorf("%s %s: %w", action, p.Spec.Name, errNotRunning)
	}
	if action == calllog.ActionKill || action == calllog.ActionTerminate {
		one.expected = true
	}
	p.recordFault(action, true)
	err := one.command.Process.Signal(signal)
	if errors.Is(err, os.ErrProcessDone) {
		err = errNotRunning
	}
	if err != nil {
		return fmt.Errorf("%s %s: %w", action, p.Spec.Name, err)
	}
	return nil
}

// Wait waits until the process does not run or the context ends.
func (p *Process) Wait(ctx context.Context) error {
	p.mutex.Lock()
	one := p.running()
	p.mutex.Unlock()
	if one == nil {
		return nil
	}
	select {
	case <-one.ended:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for the end of %s: %w", p.Spec.Name, ctx.Err())
	}
}

// Restart terminates the process, waits for its end, and starts it again. A process
// that does not end in time is killed.
func (p *Process) Restart(ctx context.Context) error {
	if err := p.Terminate(); err != nil && !errors.Is(err, errNotRunning) {
		return err
	}
	if err := p.waitOrKill(ctx); err != nil {
		return err
	}
	return p.Start()
}

// waitOrKill waits for stopTimeout and kills the process if it still runs then.
func (p *Process) waitOrKill(ctx context.Context) error {
	grace, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if p.Wait(grace) == nil {
		return nil
	}
	if err := p.Kill(); err != nil && !errors.Is(err, errNotRunning) {
		return err
	}
	return p.Wait(ctx)
}
