package run

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/decklever/decklever/testbed/deployment"
	"github.com/decklever/decklever/testbed/fleet"
	"github.com/decklever/decklever/testbed/scenario"
)

// Size and load of the fleet of TestVersionChange_BreaksNoPromise: small, so that the
// test takes less than a minute.
const (
	testFronts             = 2
	testWorkers            = 4
	testShortJobsPerSecond = 4
	testBatchJobsPerSecond = 0.2
	testDuration           = 40 * time.Second
)

// TestVersionChange_BreaksNoPromise guards against guarantees broken by a rolling upgrade
// or downgrade: under load, it replaces the processes of a small fleet by those of another
// folder of programs, and back. Both folders have the current programs; to test a change
// from an earlier release, run
// "decklever-testbed run --scenario version-change --previous-programs" by hand.
func TestVersionChange_BreaksNoPromise(t *testing.T) {
	current, previous := buildPrograms(t), t.TempDir()
	if err := os.CopyFS(filepath.Join(previous, "programs"), os.DirFS(current)); err != nil {
		t.Fatal(err)
	}
	versionChange, err := scenario.Find("version-change")
	if err != nil {
		t.Fatal(err)
	}
	var progress bytes.Buffer
	summary, err := Run(t.Context(), Config{
		Deployment: smallDeployment(t), Scenario: versionChange, Seed: 1, Duration: testDuration, Out: t.TempDir(),
		Binaries: current, PreviousBinaries: filepath.Join(previous, "programs"), Progress: &progress,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	if !summary.Passed {
		if err := summary.WriteText(&progress); err != nil {
			t.Fatal(err)
		}
		t.Errorf("got a failed run, want a passed one:\n%s", progress.String())
	}
	// Each process is replaced once in each direction.
	wantFaults := 2 * (deployment.Schedulers + testFronts + 2*testWorkers)
	if summary.FaultsInjected < wantFaults {
		t.Errorf("got %d injected faults, want at least one for each of %d replacements", summary.FaultsInjected, wantFaults)
	}
}

// buildPrograms builds the programs of a fleet into a new folder and returns its path.
func buildPrograms(t *testing.T) string {
	t.Helper()
	folder := t.TempDir()
	arguments := []string{"build", "-trimpath", "-o", folder + string(filepath.Separator)}
	for _, role := range []deployment.Role{deployment.RoleScheduler, deployment.RoleFront, deployment.RoleAgent, deployment.RoleWorker} {
		arguments = append(arguments, "github.com/decklever/decklever/cmd/decklever-"+string(role))
	}
	output, err := exec.CommandContext(t.Context(), "go", arguments...).CombinedOutput()
	if err != nil {
		t.Fatalf("build the programs: %v\n%s", err, output)
	}
	return folder
}

// claimInstance returns an instance whose addresses no other run of this test uses until
// this test ends. Its number is in the upper half of the range, which fleets started by
// hand seldom use.
func claimInstance(t *testing.T) int {
	t.Helper()
	for instance := deployment.MaxInstance; instance > deployment.MaxInstance/2; instance-- {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7099", 10*instance+1))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = listener.Close() })
		return instance
	}
	t.Fatal("got no free instance, want one in the upper half of the range")
	return 0
}

// smallDeployment returns a deployment with fewer processes and less load.
func smallDeployment(t *testing.T) deployment.Deployment {
	t.Helper()
	d, err := deployment.New("restrepo", claimInstance(t))
	if err != nil {
		t.Fatal(err)
	}
	remaining := map[deployment.Role]int{
		deployment.RoleScheduler: deployment.Schedulers, deployment.RoleFront: testFronts,
		deployment.RoleAgent: testWorkers, deployment.RoleWorker: testWorkers,
	}
	d.Processes = slices.DeleteFunc(d.Processes, func(process deployment.Process) bool {
		remaining[process.Role]--
		return remaining[process.Role] < 0
	})
	d.Shapes.Short.JobsPerSecond, d.Shapes.Batch.JobsPerSecond = testShortJobsPerSecond, testBatchJobsPerSecond
	return d
}

// TestRun_MissingPreviousProgramsReturnsError guards against a run that begins although
// the folder of the previous programs has none.
func TestRun_MissingPreviousProgramsReturnsError(t *testing.T) {
	_, err := Run(t.Context(), Config{
		Deployment: smallDeployment(t), Scenario: scenario.Scenario{Name: "none", FirstVersion: fleet.PreviousVersion},
		Out: t.TempDir(), Binaries: t.TempDir(), PreviousBinaries: t.TempDir(),
	})
	if err == nil {
		t.Fatal("got no error for folders without programs, want one")
	}
}
