package childprocess

import (
	"errors"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// ErrClosed is returned for a start after Close.
var ErrClosed = errors.New("the launcher is closed")

// Launcher starts processes from one operating system thread that it locks. The kernel
// kills a process when the thread that started it ends, so this must not be a thread
// that the Go runtime may retire.
type Launcher struct {
	requests chan startRequest
	closing  chan struct{}
	once     sync.Once
	done     sync.WaitGroup
}

// startRequest asks the thread to start a command and gets the result of that.
type startRequest struct {
	command *exec.Cmd
	result  chan error
}

// New returns a launcher. Close must be called in the end.
func New() *Launcher {
	l := &Launcher{requests: make(chan startRequest), closing: make(chan struct{})}
	l.done.Go(l.serve)
	return l
}

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

// Start starts a command in its own process group.
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

// Close gives the thread up. All children must have ended before.
func (l *Launcher) Close() {
	l.once.Do(func() { close(l.closing) })
	l.done.Wait()
}
