package childprocess

import (
	"errors"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// ErrClosed is returned by Start after Close.
var ErrClosed = errors.New("the launcher is closed")

// Launcher starts processes from one operating system thread, locked to its goroutine. The
// kernel kills a child when the thread that started it ends (Pdeathsig), so the thread must
// not be one that the Go runtime may end earlier.
type Launcher struct {
	requests  chan startRequest
	closing   chan struct{}
	closeOnce sync.Once
	serving   sync.WaitGroup
}

// startRequest is a command for the locked thread to start, and where it sends the result.
type startRequest struct {
	command *exec.Cmd
	result  chan error
}

// New returns a running launcher. The caller must call Close.
func New() *Launcher {
	l := &Launcher{requests: make(chan startRequest), closing: make(chan struct{})}
	l.serving.Go(l.serve)
	return l
}

// serve starts the requested commands on its locked thread until Close.
func (l *Launcher) serve() {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for {
		select {
		case request := <-l.requests:
			request.result <- request.command.Start()
		case <-l.closing:
			return
		}
	}
}

// Start starts a command in its own process group. It replaces command.SysProcAttr, and
// returns ErrClosed after Close.
func (l *Launcher) Start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	request := startRequest{command: command, result: make(chan error, 1)}
	select {
	case l.requests <- request:
		return <-request.result
	case <-l.closing:
		return ErrClosed
	}
}

// Close ends the goroutine and unlocks its thread. All children must have ended before.
func (l *Launcher) Close() {
	l.closeOnce.Do(func() { close(l.closing) })
	l.serving.Wait()
}
