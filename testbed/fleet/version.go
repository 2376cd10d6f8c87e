package fleet

import (
	"fmt"
	"os"
)

// Version is one of the two sets of programs that a fleet can run.
type Version uint8

// Versions.
const (
	// PresentVersion is the programs of Config.Binaries.
	PresentVersion Version = iota
	// PreviousVersion is those of Config.PreviousBinaries.
	PreviousVersion
)

// versionCount is the number of versions.
const versionCount = 2

// String names the version in errors.
func (v Version) String() string {
	if v == PreviousVersion {
		return "previous"
	}
	return "present"
}

// UseVersion has the process run the program of a version from its next start on.
func (p *Process) UseVersion(version Version) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.version = version
}

// CheckVersion returns an error unless the process runs the program of a version, as the
// operating system shows it.
func (p *Process) CheckVersion(version Version) error {
	pid := p.PID()
	if pid == 0 {
		return fmt.Errorf("program of %s: %w", p.Spec.Name, errNotRunning)
	}
	running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", pid))
	if err != nil {
		return fmt.Errorf("program of %s: %w", p.Spec.Name, err)
	}
	wanted, err := os.Stat(p.programs[version])
	if err != nil {
		return fmt.Errorf("program of %s: %w", p.Spec.Name, err)
	}
	if !os.SameFile(running, wanted) {
		return fmt.Errorf("%s does not run %s, of the %s version", p.Spec.Name, p.programs[version], version)
	}
	return nil
}

// CheckVersion returns an error unless all processes run the programs of a
// version.
func (f *Fleet) CheckVersion(version Version) error {
	for _, process := range f.processes {
		if err := process.CheckVersion(version); err != nil {
			return err
		}
	}
	return nil
}
