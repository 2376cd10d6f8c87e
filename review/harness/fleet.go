package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The fleet is a small deployment: three edge machines with a disk, four without, and
// eleven side machines with one worker each, in three zones.
const (
	schedulerCount = 3
	frontCount     = 7
	workerCount    = 11
)

var zones = []string{"taras", "oreamuno", "paraiso"}

// process is one process of the product, which may be killed and started again.
type process struct {
	name     string
	args     []string
	settings string
	log      *os.File

	mutex   sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// fleet holds the processes of the product. Each has a loopback address of its own.
type fleet struct {
	root, dir string
	record    *record
	processes map[string]*process

	seeds      []string
	schedulers []*process
	fronts     []*process
	agents     []*process
	// frontJobs, frontReady and agentControl are the addresses that clients, the platform and
	// the workers call.
	frontJobs, frontReady, agentControl []string
}

// freePort returns a port that is free on all loopback addresses in use here.
func freePort(addresses []string) (int, error) {
	for range 50 {
		first, err := net.Listen("tcp", addresses[0]+":0")
		if err != nil {
			return 0, err
		}
		port := first.Addr().(*net.TCPAddr).Port
		_ = first.Close()
		if free(addresses, port) {
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func free(addresses []string, port int) bool {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// newFleet lays out the settings of all processes below dir. It starts none.
func newFleet(root, dir string, record *record) (*fleet, error) {
	f := &fleet{root: root, dir: dir, record: record, processes: make(map[string]*process)}
	var edges, sides, all []string
	for i := range frontCount {
		edges = append(edges, fmt.Sprintf("127.77.%d.%d", i%len(zones)+1, 10+i))
	}
	for i := range workerCount {
		sides = append(sides, fmt.Sprintf("127.77.%d.%d", i%len(zones)+1, 100+i))
	}
	all = append(append(all, edges...), sides...)
	ports := make([]int, 5)
	for i := range ports {
		port, err := freePort(all)
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	control, jobs, ready, own0, own1 := ports[0], ports[1], ports[2], ports[3], ports[4]
	for i := range schedulerCount {
		f.seeds = append(f.seeds, fmt.Sprintf("%s:%d", edges[i], control))
	}
	for i, ip := range edges {
		values := map[string]any{
			"nodeName": fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), "zone": zones[i%len(zones)], "ip": ip,
			"portRange": []int{own0, own1}, "seeds": f.seeds, "bootstrap": true,
			"listen": map[string]any{"control": fmt.Sprintf("%s:%d", ip, control)}, "faultTolerance": map[string]any{"machines": 1},
		}
		if i < schedulerCount {
			data := filepath.Join(dir, "data", fmt.Sprintf("scheduler-%d", i))
			if err := os.MkdirAll(data, 0o755); err != nil {
				return nil, err
			}
			values["dataDir"] = data
			p, err := f.add(fmt.Sprintf("scheduler-%d", i), "scheduler.yaml", values, "scheduler")
			if err != nil {
				return nil, err
			}
			f.schedulers = append(f.schedulers, p)
		}
		f.frontJobs = append(f.frontJobs, fmt.Sprintf("%s:%d", ip, jobs))
		f.frontReady = append(f.frontReady, fmt.Sprintf("%s:%d", ip, ready))
		p, err := f.add(fmt.Sprintf("front-%d", i), "front.yaml", values, "front", "--jobs="+f.frontJobs[i], "--ready="+f.frontReady[i])
		if err != nil {
			return nil, err
		}
		f.fronts = append(f.fronts, p)
	}
	for i, ip := range sides {
		values := map[string]any{
			"nodeName": fmt.Sprintf("side-%s-%d", zones[i%len(zones)], i/len(zones)+1), "zone": zones[i%len(zones)], "ip": ip,
			"portRange": []int{own0, own1}, "seeds": f.seeds,
		}
		f.agentControl = append(f.agentControl, fmt.Sprintf("%s:%d", ip, control))
		p, err := f.add(fmt.Sprintf("agent-%d", i), "agent.yaml", values, "agent", "--workers="+f.agentControl[i])
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, p)
	}
	return f, nil
}

// add fills a template of deploy/ and adds the process that gets it.
func (f *fleet) add(name, template string, values map[string]any, args ...string) (*process, error) {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", template))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(f.dir, name+".yaml")
	if err := os.WriteFile(path, []byte(fill(string(text), values)), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, args: args, settings: path, log: log}
	f.processes[name] = p
	return p, nil
}

var (
	section = regexp.MustCompile(`(?s)\{\{([#^])(\w+)\}\}(.*?)\{\{/\w+\}\}`)
	gap     = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// fill fills the gaps of a template, as far as the templates of deploy/ use them.
func fill(text string, values map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(whole string) string {
		parts := section.FindStringSubmatch(whole)
		if _, given := values[parts[2]]; given == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	return gap.ReplaceAllStringFunc(text, func(whole string) string {
		parts := gap.FindStringSubmatch(whole)
		value := lookup(values, parts[1])
		if parts[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
}

func lookup(values map[string]any, path string) any {
	var value any = values
	for _, key := range strings.Split(path, ".") {
		switch current := value.(type) {
		case map[string]any:
			value = current[key]
		case []int:
			value = current[int(key[0]-'0')]
		}
	}
	return value
}

// forgetBootstrap lays the settings of a later start: bootstrap is true only when the whole
// system starts for the first time.
func (p *process) forgetBootstrap() error {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(p.settings, bytes.ReplaceAll(text, []byte("may_form: true"), []byte("may_form: false")), 0o644)
}

// start starts a process. It must not run.
func (f *fleet) start(p *process) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	command := exec.Command(filepath.Join(f.root, "target", "decklever-platform"), p.args...)
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DECKLEVER_BOOT=" + p.settings}
	command.Stdout, command.Stderr = p.log, p.log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to a process that this program started.
func (f *fleet) signal(p *process, sent syscall.Signal) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.command == nil {
		return
	}
	f.record.note("process", "name", p.name, "signal", sent.String())
	_ = p.command.Process.Signal(sent)
}

// kill kills a process and waits for its end.
func (f *fleet) kill(p *process) {
	f.signal(p, syscall.SIGKILL)
	p.mutex.Lock()
	exited := p.exited
	p.mutex.Unlock()
	if exited != nil {
		<-exited
	}
}

// startAll starts every process within 0.3 s.
func (f *fleet) startAll() error {
	for _, group := range [][]*process{f.schedulers, f.fronts, f.agents} {
		for _, p := range group {
			if err := f.start(p); err != nil {
				return err
			}
		}
	}
	return nil
}

// stopAll ends every process that was started.
func (f *fleet) stopAll() {
	var ending sync.WaitGroup
	for _, p := range f.processes {
		ending.Go(func() {
			p.mutex.Lock()
			command, exited := p.command, p.exited
			p.mutex.Unlock()
			if command == nil {
				return
			}
			_ = command.Process.Signal(syscall.SIGKILL)
			<-exited
		})
	}
	ending.Wait()
}

// leader returns the scheduler that its own metrics name as the leader, or nil.
func (f *fleet) leader() *process {
	for i, seed := range f.seeds {
		status, body := call("GET", "http://"+seed+"/metrics", "", nil, nil, time.Second)
		if status == 200 && strings.Contains(string(body), "\ndecklever_replica_is_leader 1\n") {
			return f.schedulers[i]
		}
	}
	return nil
}
