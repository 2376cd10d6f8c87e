package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// zones are the zones of the fleet; machines are assigned to them in turn.
var zones = []string{"cali-norte", "palmira", "jamundi"}

// machine is one process of the system on a loopback address of its own.
type machine struct {
	name, role, zone, ip string
	// internal is the address that other processes call; outside is what the role serves:
	// control, front, or the worker on its machine; ready is for fronts only.
	internal, outside, ready string
	settings, data, log      string
	args                     []string

	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// fleet runs the programs of the deploy file as child processes.
type fleet struct {
	root, dir  string
	record     *record
	schedulers []*machine
	fronts     []*machine
	agents     []*machine
	operator   *http.Client
}

// all returns all machines.
func (f *fleet) all() []*machine {
	var all []*machine
	all = append(all, f.schedulers...)
	all = append(all, f.fronts...)
	return append(all, f.agents...)
}

// newFleet lays out a fleet in a temporary folder.
func newFleet(record *record, schedulers, fronts, agents int) (*fleet, error) {
	root, err := findRoot()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "decklever-platform")); err != nil {
		return nil, fmt.Errorf("the programs are not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, dir: dir, record: record, operator: &http.Client{Timeout: time.Second}}
	network := 1 + rand.IntN(200)
	subnet := 1 + rand.IntN(250)
	number := 0
	add := func(role string, index int) (*machine, error) {
		number++
		m := &machine{
			name: fmt.Sprintf("%s-%d", role, index+1), role: role, zone: zones[index%len(zones)],
			ip: fmt.Sprintf("127.%d.%d.%d", network, subnet, number),
		}
		ports, err := freePorts(m.ip, 3)
		if err != nil {
			return nil, err
		}
		m.internal, m.outside, m.ready = ports[0], ports[1], ports[2]
		m.settings = filepath.Join(dir, m.name+".yaml")
		m.log = filepath.Join(dir, m.name+".log")
		if role == "scheduler" {
			m.outside = m.internal
			m.data = filepath.Join(dir, m.name+".data")
			if err := os.Mkdir(m.data, 0o755); err != nil {
				return nil, err
			}
		}
		return m, nil
	}
	for _, group := range []struct {
		role  string
		count int
		list  *[]*machine
	}{{"scheduler", schedulers, &f.schedulers}, {"front", fronts, &f.fronts}, {"agent", agents, &f.agents}} {
		for index := range group.count {
			m, err := add(group.role, index)
			if err != nil {
				return nil, err
			}
			*group.list = append(*group.list, m)
		}
	}
	for _, m := range f.all() {
		if err := f.prepare(m, true); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// findRoot returns the repository's root, which is above the working folder or above the
// program.
func findRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", fmt.Errorf("no deploy/system.toml above the working folder")
}

// freePorts returns addresses at an IP whose ports are free now.
func freePorts(ip string, count int) ([]string, error) {
	var listeners []net.Listener
	var addresses []string
	defer func() {
		for _, listener := range listeners {
			_ = listener.Close()
		}
	}()
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, listener)
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

// prepare fills the role's template and the gaps of its command from the deploy file.
func (f *fleet) prepare(m *machine, bootstrap bool) error {
	deploy, err := os.ReadFile(filepath.Join(f.root, "deploy", "system.toml"))
	if err != nil {
		return err
	}
	run, template := roleOf(string(deploy), m.role)
	if run == "" || template == "" {
		return fmt.Errorf("the deploy file has no role %s with run and template", m.role)
	}
	text, err := os.ReadFile(filepath.Join(f.root, template))
	if err != nil {
		return err
	}
	var seeds []string
	for _, s := range f.schedulers {
		seeds = append(seeds, s.internal)
	}
	encodedSeeds, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	_, port, _ := net.SplitHostPort(m.internal)
	filled := string(text)
	if m.data != "" {
		filled = strings.ReplaceAll(filled, "{{^dataDir}}relay: true{{/dataDir}}", "")
	}
	for gap, value := range map[string]string{
		"{{#dataDir}}": "", "{{/dataDir}}": "", "{{dataDir}}": m.data,
		"{{nodeName}}": m.name, "{{zone}}": m.zone, "{{ip}}": m.ip,
		"{{portRange.0}}": port, "{{portRange.1}}": port, "{{listen.control}}": m.outside,
		"{{listen.front}}": m.outside, "{{listen.ready}}": m.ready,
		"{{seeds|json}}": string(encodedSeeds), "{{bootstrap}}": fmt.Sprint(bootstrap),
		"{{faultTolerance.machines}}": "1",
	} {
		filled = strings.ReplaceAll(filled, gap, value)
		run = strings.ReplaceAll(run, gap, value)
	}
	if strings.Contains(filled, "{{") || strings.Contains(run, "{{") {
		return fmt.Errorf("the template of %s has a gap that the stand-in does not know: %s", m.role, filled)
	}
	m.args = strings.Fields(run)
	return os.WriteFile(m.settings, []byte(filled), 0o644)
}

// roleOf reads run and template of one role from the text of the deploy file.
func roleOf(deploy, role string) (run, template string) {
	inRole := false
	for line := range strings.Lines(deploy) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			inRole = line == "[roles."+role+"]"
		}
		key, value, found := strings.Cut(line, "=")
		if !inRole || !found {
			continue
		}
		value = strings.Trim(strings.TrimSpace(value), `"`)
		switch strings.TrimSpace(key) {
		case "run":
			run = value
		case "template":
			template = value
		}
	}
	return run, template
}

// start starts the process of a machine.
func (f *fleet) start(m *machine) error {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	log, err := os.OpenFile(m.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(filepath.Join(f.root, m.args[0]), m.args[1:]...)
	command.Dir = f.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DECKLEVER_BOOT=" + m.settings}
	command.Stdout, command.Stderr = log, log
	// The children end with this process, however it ends.
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.ended = command, make(chan struct{})
	go func(ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(m.ended)
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(signal syscall.Signal) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(signal)
	}
}

// killAll sends SIGKILL to the machines at once and waits until they have ended.
func killAll(machines []*machine) {
	for _, m := range machines {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range machines {
		m.mutex.Lock()
		ended := m.ended
		m.mutex.Unlock()
		if ended != nil {
			<-ended
		}
	}
}

// up starts all processes at once, as at the first start of the whole system.
func (f *fleet) up() error {
	for _, m := range f.all() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.all() {
		if !waitFor(10*time.Second, func() bool { return listens(m.outside) }) {
			return fmt.Errorf("%s does not listen", m.name)
		}
		// From the next start on, the settings say that the system has started before.
		if err := f.prepare(m, false); err != nil {
			return err
		}
	}
	return nil
}

// ready waits until all fronts are ready, which they are once a configuration is in force.
func (f *fleet) ready() error {
	for _, m := range f.fronts {
		ready := func() bool {
			response, err := f.operator.Get("http://" + m.ready + "/-/ready")
			if err != nil {
				return false
			}
			defer func() { _ = response.Body.Close() }()
			return response.StatusCode == http.StatusOK
		}
		if !waitFor(15*time.Second, ready) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	return nil
}

// down ends all processes and removes the temporary folder.
func (f *fleet) down() {
	for _, m := range f.all() {
		m.signal(syscall.SIGCONT)
	}
	killAll(f.all())
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

func listens(address string) bool {
	connection, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return false
	}
	_ = connection.Close()
	return true
}

// waitFor waits until the condition holds or the time is over.
func waitFor(limit time.Duration, holds func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
