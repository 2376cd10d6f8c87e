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
	// clockTick is the unit of processor time in /proc: Linux reports it to all programs
	// in hundredths of a second.
	clockTick  = 10 * time.Millisecond
	bytesPerMB = 1 << 20
	bytesPerKB = 1 << 10
)

// Usage is the processor time and memory that the processes of one role used, sampled each
// second.
type Usage struct {
	Role deployment.Role `json:"role"`
	// CPUMedian and CPUMax are in processor cores: 1 is one core in full use. The median
	// and maximum are over all samples of all processes of the role.
	CPUMedian float64 `json:"cpu_median"`
	CPUMax    float64 `json:"cpu_max"`
	// MemoryMedianMB and MemoryMaxMB are the resident memory in mebibytes.
	MemoryMedianMB float64 `json:"memory_median_mb"`
	MemoryMaxMB    float64 `json:"memory_max_mb"`
	Samples        int     `json:"samples"`
}

// Sampler samples the processor time and memory of all processes of a fleet. The mutex
// guards the fields below it.
type Sampler struct {
	fleet *Fleet

	mutex  sync.Mutex
	last   map[int]cpuSample // by process id
	cpu    map[deployment.Role][]float64
	memory map[deployment.Role][]float64
}

// cpuSample is the processor time that a process had used by a time.
type cpuSample struct {
	at  monoclock.Nanos
	cpu time.Duration
}

// NewSampler returns a sampler for the processes of a fleet.
func NewSampler(f *Fleet) *Sampler {
	return &Sampler{
		fleet: f, last: map[int]cpuSample{},
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

// sampleProcess adds one sample of a process. It skips a process that has ended since its
// id was read.
func (s *Sampler) sampleProcess(role deployment.Role, pid int) {
	cpu, err := processorTime(pid)
	if err != nil {
		return
	}
	memory, err := residentMemory(pid)
	if err != nil {
		return
	}
	now := cpuSample{at: monoclock.Now(), cpu: cpu}
	s.memory[role] = append(s.memory[role], float64(memory)/bytesPerMB)
	if previous, known := s.last[pid]; known {
		s.cpu[role] = append(s.cpu[role], float64(now.cpu-previous.cpu)/float64(now.at.Sub(previous.at)))
	}
	s.last[pid] = now
}

// Usages returns the usage of each role over all samples so far, sorted by role.
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

// processorTime returns the sum of user and system time of a process.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, fmt.Errorf("read processor time: %w", err)
	}
	return parseProcessorTime(data)
}

// parseProcessorTime returns the sum of fields 14 and 15 of a stat file, user and system
// time. The second field, the program's name in parentheses, may contain spaces and
// parentheses, so fields are counted after its last parenthesis.
func parseProcessorTime(stat []byte) (time.Duration, error) {
	const userField, systemField = 11, 12 // indexes in the fields after the program's name
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

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, fmt.Errorf("read resident memory: %w", err)
	}
	return parseResidentMemory(data)
}

// parseResidentMemory returns the VmRSS field of a status file in bytes.
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
