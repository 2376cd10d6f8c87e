package fleet

import (
	"errors"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
)

// errLauncherClosed is returned for a start after the fleet was stopped.
var errLauncherClosed = errors.New("the fleet is stopped")

// launcher starts processes from one operating system thread that it keeps.
// A process is told to die when the thread that started it ends, so this must
// not be a thread that the Go runtime may retire.
type launcher struct {
	requests chan launch
	closing  chan struct{}
	once     sync.Once
	done     sync.WaitGroup
}

type launch struct {
	command *exec.Cmd
	result  chan error
}

func newLauncher() *launcher {
	l := &launcher{requests: make(chan launch), closing: make(chan struct{})}
	l.done.Go(l.serve)
	return l
}

func (l *launcher) serve() {
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

// start starts a command in its own process group.
func (l *launcher) start(command *exec.Cmd) error {
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	request := launch{command: command, result: make(chan error, 1)}
	select {
	case l.requests <- request:
		return <-request.result
	case <-l.closing:
		return errLauncherClosed
	}
}

// close ends the thread. All processes must have ended before.
func (l *launcher) close() {
	l.once.Do(func() { close(l.closing) })
	l.done.Wait()
}
