package fleet

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/monoclock"
)

const (
	sampleInterval = time.Second
	// clockTick is the unit of processor time in /proc, which on Linux is a
	// hundredth of a second for all programs.
	clockTick  = 10 * time.Millisecond
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

// Usage is what the processes of one role took, sampled each second.
type Usage struct {
	Role deployment.Role `json:"role"`
	// CPUMedian and CPUMax are shares of one core, of which 1 is all. The median and
	// maximum are over all samples of all processes of the role.
	CPUMedian float64 `json:"cpu_median"`
	CPUMax    float64 `json:"cpu_max"`
	// MemoryMedianMB and MemoryMaxMB are resident memory in mebibytes.
	MemoryMedianMB float64 `json:"memory_median_mb"`
	MemoryMaxMB    float64 `json:"memory_max_mb"`
	Samples        int     `json:"samples"`
}

// Sampler samples the processor time and memory of all processes of a fleet.
type Sampler struct {
	fleet *Fleet

	mutex  sync.Mutex
	last   map[int]reading
	cpu    map[deployment.Role][]float64
	memory map[deployment.Role][]float64
}

type reading struct {
	at  monoclock.Nanos
	cpu time.Duration
}

// NewSampler returns a sampler of that fleet.
func NewSampler(f *Fleet) *Sampler {
	return &Sampler{
		fleet: f, last: map[int]reading{},
		cpu: map[deployment.Role][]float64{}, memory: map[deployment.Role][]float64{},
	}
}

// Run samples each second until the context ends.
func (s *Sampler) Run(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		s.sample()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Sampler) sample() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, process := range s.fleet.processes {
		if pid := process.PID(); pid != 0 {
			s.sampleProcess(process.Spec.Role, pid)
		}
	}
}

// sampleProcess skips a process that has just ended.
func (s *Sampler) sampleProcess(role deployment.Role, pid int) {
	cpu, err := processorTime(pid)
	if err != nil {
		return
	}
	memory, err := residentMemory(pid)
	if err != nil {
		return
	}
	now := reading{at: monoclock.Now(), cpu: cpu}
	s.memory[role] = append(s.memory[role], float64(memory)/bytesPerMB)
	if before, known := s.last[pid]; known {
		s.cpu[role] = append(s.cpu[role], float64(now.cpu-before.cpu)/float64(now.at.Sub(before.at)))
	}
	s.last[pid] = now
}

// Usages returns what was sampled so far, by role.
func (s *Sampler) Usages() []Usage {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var usages []Usage
	for _, role := range slices.Sorted(maps.Keys(s.memory)) {
		usage := Usage{Role: role, Samples: len(s.memory[role])}
		usage.CPUMedian, usage.CPUMax = medianAndMax(s.cpu[role])
		usage.MemoryMedianMB, usage.MemoryMaxMB = medianAndMax(s.memory[role])
		usages = append(usages, usage)
	}
	return usages
}

func medianAndMax(samples []float64) (median, highest float64) {
	if len(samples) == 0 {
		return 0, 0
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[len(sorted)/2], sorted[len(sorted)-1]
}

// processorTime reads user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return parseProcessorTime(data)
}

// parseProcessorTime reads the 14th and 15th field. The second one, the
// program's name in parentheses, may itself hold blanks.
func parseProcessorTime(stat []byte) (time.Duration, error) {
	const userField, systemField = 11, 12 // counted behind the name
	fields := bytes.Fields(stat[bytes.LastIndexByte(stat, ')')+1:])
	if len(fields) <= systemField {
		return 0, fmt.Errorf("processor time: %d fields", len(fields))
	}
	user, err := strconv.ParseInt(string(fields[userField]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	system, err := strconv.ParseInt(string(fields[systemField]), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
	}
	return time.Duration(user+system) * clockTick, nil
}

// residentMemory reads the resident memory of a process in bytes.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read resident memory: %w", err)
	}
	return parseResidentMemory(data)
}

func parseResidentMemory(status []byte) (int64, error) {
	statusLines := bufio.NewScanner(bytes.NewReader(status))
	for statusLines.Scan() {
		text, found := strings.CutPrefix(statusLines.Text(), "VmRSS:")
		if !found {
			continue
		}
		kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 10, 64)
		if err != nil {
			return 0, fmt.Errorf("resident memory: %w", err)
		}
		return kilobytes * bytesPerKB, nil
	}
	return 0, fmt.Errorf("resident memory: no VmRSS line")
}
