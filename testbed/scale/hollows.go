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

// hollowStopTimeout is how long a hollow process may take to end.
const hollowStopTimeout = 10 * time.Second

// hollows are the hollow processes of a run.
type hollows struct {
	processes []*hollowProcess
}

// hollowProcess is one of them. It ends when its input does, and so with the
// lab, however the test bed ends.
type hollowProcess struct {
	spec    hollow.Spec
	command *exec.Cmd
	input   io.WriteCloser

	mutex   sync.Mutex
	replies *bufio.Scanner
}

// startHollows starts one process for each spec.
func startHollows(self, directory string, specs []hollow.Spec) (*hollows, error) {
	h := &hollows{}
	for index, spec := range specs {
		process, err := startHollow(self, filepath.Join(directory, fmt.Sprintf("hollow-%02d", index+1)), spec)
		if err != nil {
			return nil, errors.Join(err, h.stop())
		}
		h.processes = append(h.processes, process)
	}
	return h, nil
}

func startHollow(self, base string, spec hollow.Spec) (*hollowProcess, error) {
	if err := hollow.WriteSpec(base+".json", spec); err != nil {
		return nil, err
	}
	log, err := os.Create(base + ".log")
	if err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own handle
	command := exec.Command(self, "hollow", "--spec", base+".json")
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
		return reply, fmt.Errorf("ask hollow process: %w", err)
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

// stop ends the process by closing its input, and kills it if that is not
// enough.
func (p *hollowProcess) stop() error {
	_ = p.input.Close() // an error means that it has ended already
	killer := time.AfterFunc(hollowStopTimeout, func() { _ = p.command.Process.Kill() })
	defer killer.Stop()
	if err := p.command.Wait(); err != nil {
		return fmt.Errorf("hollow process: %w", err)
	}
	return nil
}

func (h *hollows) stop() error {
	failures := make([]error, len(h.processes))
	var ending sync.WaitGroup
	for index, process := range h.processes {
		ending.Go(func() { failures[index] = process.stop() })
	}
	ending.Wait()
	return errors.Join(failures...)
}

// nodes is the number of hollow nodes.
func (h *hollows) nodes() int {
	count := 0
	for _, process := range h.processes {
		count += len(process.spec.Nodes)
	}
	return count
}

// find returns the process and place of a hollow node, counted over all.
func (h *hollows) find(node int) (process *hollowProcess, index int) {
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
