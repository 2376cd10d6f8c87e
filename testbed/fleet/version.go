package fleet

import (
	"fmt"
	"os"
)

// Version identifies one of the two sets of programs that a fleet can run.
type Version uint8

// The versions of a fleet's programs.
const (
	// PresentVersion runs the programs in Config.Binaries.
	PresentVersion Version = iota
	// PreviousVersion runs the programs in Config.PreviousBinaries.
	PreviousVersion
)

// versionCount is the number of versions.
const versionCount = 2

// String returns the version's name for error messages.
func (v Version) String() string {
	if v == PreviousVersion {
		return "previous"
	}
	return "present"
}

// UseVersion selects the version that the process runs from its next start on.
func (p *Process) UseVersion(version Version) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.version = version
}

// CheckVersion returns an error unless the process runs the program of that version
// according to /proc.
func (p *Process) CheckVersion(version Version) error {
	pid := p.PID()
	if pid == 0 {
		return fmt.Errorf("program of %s: %w", p.Spec.Name, errNotRunning)
	}
	running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", pid))
	if err != nil {
		return fmt.Errorf("program of %s: %w", p.Spec.Name, err)
	}
	expected, err := os.Stat(p.programs[version])
	if err != nil {
		return fmt.Errorf("program of %s: %w", p.Spec.Name, err)
	}
	if !os.SameFile(running, expected) {
		return fmt.Errorf("%s does not run %s, of the %s version", p.Spec.Name, p.programs[version], version)
	}
	return nil
}

// CheckVersion returns an error unless all processes run the programs of that version.
func (f *Fleet) CheckVersion(version Version) error {
	for _, process := range f.processes {
		if err := process.CheckVersion(version); err != nil {
			return err
		}
	}
	return nil
}
