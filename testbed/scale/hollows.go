package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/hollow"
)

// hollowStopTimeout is how long a hollow process may take to exit before it is killed.
const hollowStopTimeout = 10 * time.Second

// hollows are the hollow processes of a run.
type hollows struct {
	processes []*hollowProcess
}

// hollowProcess is one hollow process. It exits at the end of its standard input, so it
// does not outlive the test bed even if that is killed. The mutex serializes calls.
type hollowProcess struct {
	spec    hollow.Spec
	command *exec.Cmd
	input   io.WriteCloser

	mutex   sync.Mutex
	replies *bufio.Scanner
}

// startHollows starts one process for each spec. If one fails to start, it stops those
// already started.
func startHollows(executable, directory string, specs []hollow.Spec) (*hollows, error) {
	h := &hollows{}
	for index, spec := range specs {
		process, err := startHollow(executable, filepath.Join(directory, fmt.Sprintf("hollow-%02d", index+1)), spec)
		if err != nil {
			return nil, errors.Join(err, h.stop())
		}
		h.processes = append(h.processes, process)
	}
	return h, nil
}

func startHollow(executable, base string, spec hollow.Spec) (*hollowProcess, error) {
	if err := hollow.WriteSpec(base+".json", spec); err != nil {
		return nil, err
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	command := exec.Command(executable, "hollow", "--spec", base+".json")
	command.Stderr = log
	input, err := command.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("start hollow process: %w", err)
	}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("start hollow process: %w", err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start hollow process: %w", err)
	}
	return &hollowProcess{spec: spec, command: command, input: input, replies: bufio.NewScanner(output)}, nil
}

// call sends one request and waits for its reply.
func (p *hollowProcess) call(request hollow.Request) (hollow.Reply, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var reply hollow.Reply
	if err := json.NewEncoder(p.input).Encode(request); err != nil {
		return reply, fmt.Errorf("send request to hollow process: %w", err)
	}
	if !p.replies.Scan() {
		return reply, fmt.Errorf("hollow process gave no reply: %w", errors.Join(p.replies.Err(), io.ErrUnexpectedEOF))
	}
	if err := json.Unmarshal(p.replies.Bytes(), &reply); err != nil {
		return reply, fmt.Errorf("read reply: %w", err)
	}
	if reply.Error != "" {
		return reply, fmt.Errorf("hollow process: %s", reply.Error)
	}
	return reply, nil
}

// stop closes the input of the process, which makes it exit, and kills it after
// hollowStopTimeout.
func (p *hollowProcess) stop() error {
	_ = p.input.Close() // an error means that the process has already exited
	killTimer := time.AfterFunc(hollowStopTimeout, func() { _ = p.command.Process.Kill() })
	defer killTimer.Stop()
	if err := p.command.Wait(); err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	return nil
}

func (h *hollows) stop() error {
	failures := make([]error, len(h.processes))
	var stopping sync.WaitGroup
	for index, process := range h.processes {
		stopping.Go(func() { failures[index] = process.stop() })
	}
	stopping.Wait()
	return errors.Join(failures...)
}

// nodes returns the number of hollow nodes.
func (h *hollows) nodes() int {
	count := 0
	for _, process := range h.processes {
		count += len(process.spec.Nodes)
	}
	return count
}

// locate returns the process of a hollow node, counted from 0 over all processes, and its
// index there. All processes but the last have nodesPerProcess nodes.
func (h *hollows) locate(node int) (process *hollowProcess, index int) {
	return h.processes[node/nodesPerProcess], node % nodesPerProcess
}

// counters sums the counters of all processes.
func (h *hollows) counters() (hollow.Counters, error) {
	sum := hollow.Counters{Calls: map[string]float64{}}
	for _, process := range h.processes {
		reply, err := process.call(hollow.Request{Command: hollow.CommandCount})
		if err != nil {
			return sum, err
		}
		if reply.Counters == nil {
			return sum, errors.New("hollow process replied without counters")
		}
		sum.SentBytes += reply.Counters.SentBytes
		sum.ReceivedBytes += reply.Counters.ReceivedBytes
		sum.Heartbeats += reply.Counters.Heartbeats
		for method, count := range reply.Counters.Calls {
			sum.Calls[method] += count
		}
	}
	return sum, nil
}
