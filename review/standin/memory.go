package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// memoryMb is the memory of a machine that serves control (restrepo-swap: 284 MB).
const memoryMb = 284

// platform is the platform's part in the memory case: it kills a process over its limit and
// starts a process again a short time after it has ended.
type platform struct {
	fleet   *fleet
	mutex   sync.Mutex
	kills   map[string]int
	highest map[string]int
	limit   int
}

// residentMb returns the anonymous resident memory of a process in MB: mapped files, such as
// the program, are left out in its favour.
func (m *machine) residentMb() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.command == nil || m.command.Process == nil {
		return 0
	}
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes / 1024
		}
	}
	return 0
}

func (m *machine) hasEnded() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// watch enforces the limit until ctx ends.
func (p *platform) watch(ctx context.Context, m *machine) {
	lastReport := time.Now()
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		size := m.residentMb()
		p.mutex.Lock()
		p.highest[m.name] = max(p.highest[m.name], size)
		p.mutex.Unlock()
		if time.Since(lastReport) > 5*time.Second {
			lastReport = time.Now()
			p.fleet.record.add("platform: %s has %d MB", m.name, size)
		}
		if size > p.limit {
			m.signal(syscall.SIGKILL)
			p.mutex.Lock()
			p.kills[m.name]++
			p.mutex.Unlock()
			p.fleet.record.add("platform: %s has %d MB, more than %d: it is killed", m.name, size, p.limit)
		}
		if size <= p.limit && !m.hasEnded() {
			continue
		}
		killAll([]*machine{m})
		time.Sleep(300 * time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		if err := p.fleet.start(m); err != nil {
			p.fleet.record.add("platform: %s cannot be started: %v", m.name, err)
			return
		}
	}
}

// memory hands in one small job and sees it succeed. Then jobs come, fewer a second than is usual
// in a small deployment. With the disruption, every third of them is large and is cancelled by
// its client once it was accepted. The platform gives each process the memory of a small
// deployment. Some time after the last of these calls the clients ask for the state of the small
// job.
func memory(record *record, trouble bool) (bool, error) {
	const (
		jobs      = 720
		perSecond = 12
		finish    = 14 * time.Second
		// The largest job that the system accepts has 10,000 tasks.
		steps = 5
		width = 2000
	)
	f, err := newFleet(record, 3, 4, 11)
	if err != nil {
		return false, err
	}
	defer f.down()
	if err := f.up(); err != nil {
		return false, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p := &platform{fleet: f, kills: map[string]int{}, highest: map[string]int{}, limit: memoryMb}
	var watching sync.WaitGroup
	defer watching.Wait()
	defer cancel()
	for _, m := range f.schedulers {
		watching.Go(func() { p.watch(ctx, m) })
	}
	if err := f.putConfig(3); err != nil {
		return false, err
	}
	if err := f.ready(); err != nil {
		return false, err
	}
	for index, agent := range f.agents {
		w := newWorker(record, agent, index, func(string) (time.Duration, int, int) { return 640 * time.Millisecond, 480, 490 })
		w.quiet = true
		go w.beats(ctx)
	}
	time.Sleep(3 * time.Second)
	small := newID()
	if !f.submit(prefix, small, job{Spec: "swap one pack", Steps: []step{{Count: 2, CPU: 480, MemMb: 500, EstimateMs: 640}}}, 5*time.Second) {
		return false, fmt.Errorf("the small job was not accepted")
	}
	succeeded := func() bool {
		status, state := f.state(f.fronts[0], prefix, small)
		return status == http.StatusOK && state == "succeeded"
	}
	if !waitFor(15*time.Second, succeeded) {
		return false, fmt.Errorf("the small job did not succeed")
	}
	record.add("client: GET %s%s -> 200 succeeded", prefix, small)
	usual := job{Spec: strings.Repeat("s", 1200), Steps: []step{
		{Count: 6, CPU: 480, MemMb: 490, EstimateMs: 640}, {Count: 3, CPU: 480, MemMb: 490, EstimateMs: 640, After: []int{0}},
	}}
	large := job{Spec: strings.Repeat("l", 100)}
	for range steps {
		large.Steps = append(large.Steps, step{Count: width, CPU: 1000, MemMb: 1900, EstimateMs: 4800})
	}
	var clients sync.WaitGroup
	var mutex sync.Mutex
	accepted := 0
	begin := time.Now()
	for number := range jobs {
		time.Sleep(time.Until(begin.Add(time.Duration(number) * time.Second / time.Duration(perSecond))))
		isLarge := trouble && number%3 == 0
		clients.Go(func() {
			id := newID()
			if !isLarge {
				f.submit(prefix, id, usual, 3*time.Second)
				return
			}
			if !f.submit(urgent, id, large, 3*time.Second) {
				return
			}
			mutex.Lock()
			accepted++
			mutex.Unlock()
			for try := range 5 {
				status, _ := call(f.fronts[try%len(f.fronts)], http.MethodDelete, urgent+id, nil, 3*time.Second)
				record.add("client: DELETE %s%s -> %d", urgent, id, status)
				if status == http.StatusOK || status == http.StatusGone {
					return
				}
			}
		})
	}
	clients.Wait()
	record.add("clients: %d jobs were handed in; %d large ones of %d tasks each were accepted", jobs, accepted, steps*width)
	time.Sleep(finish)
	kept := false
	for begin := time.Now(); time.Since(begin) < 12*time.Second && !kept; time.Sleep(500 * time.Millisecond) {
		for _, front := range f.fronts {
			status, state := f.state(front, prefix, small)
			record.add("client: GET %s%s at %s -> %d %s", prefix, small, front.name, status, state)
			kept = kept || status == http.StatusOK && state == "succeeded"
		}
	}
	if !kept {
		record.add("LOST: the small job, which succeeded and which nobody cancelled, has no answer, %d s and more after the traffic", finish/time.Second)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	total := 0
	for _, kills := range p.kills {
		total += kills
	}
	record.add("platform: highest memory %v MB, killed for it %v", p.highest, p.kills)
	if total >= 3 && len(p.kills) >= 2 {
		record.add("Fault: memory went over the limit %d times, on %d of 3 machines of the core", total, len(p.kills))
		kept = false
	}
	return kept, nil
}
