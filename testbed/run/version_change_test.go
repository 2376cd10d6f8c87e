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

// Size and load of the fleet of TestVersionChange: small, so that it takes less than
// a minute.
const (
	testFronts             = 2
	testWorkers            = 4
	testShortJobsPerSecond = 4
	testBatchJobsPerSecond = 0.2
	testDuration           = 40 * time.Second
)

// TestVersionChange_BreaksNoPromise changes a small fleet from one folder of
// programs to another under load, and back. Both hold the present programs: a
// change from those of an earlier release is run by hand, with
// "decklever-testbed run --scenario version-change --previous-programs".
func TestVersionChange_BreaksNoPromise(t *testing.T) {
	present, previous := buildPrograms(t), t.TempDir()
	if err := os.CopyFS(filepath.Join(previous, "programs"), os.DirFS(present)); err != nil {
		t.Fatal(err)
	}
	course, err := scenario.Find("version-change")
	if err != nil {
		t.Fatal(err)
	}
	var progress bytes.Buffer
	summary, err := Run(t.Context(), Config{
		Deployment: smallDeployment(t), Scenario: course, Seed: 1, Duration: testDuration, Out: t.TempDir(),
		Binaries: present, PreviousBinaries: filepath.Join(previous, "programs"), Progress: &progress,
	})
	if err != nil {
		t.Fatalf("%v\n%s", err, progress.String())
	}
	if !summary.Passed {
		if err := summary.WriteText(&progress); err != nil {
			t.Fatal(err)
		}
		t.Errorf("the run did not pass:\n%s", progress.String())
	}
	// Each process is ended once in each direction.
	changed := 2 * (deployment.Schedulers + testFronts + 2*testWorkers)
	if summary.FaultsInjected < changed {
		t.Errorf("%d faults were caused, expected one for each of %d changes", summary.FaultsInjected, changed)
	}
}

// buildPrograms builds the programs of a fleet into a new folder.
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

// claimInstance returns an instance whose addresses no other run of this test takes
// until it has ended. Fleets started by hand seldom have such high numbers.
func claimInstance(t *testing.T) int {
	t.Helper()
	for instance := deployment.MaxInstance; instance > deployment.MaxInstance/2; instance-- {
		claim, err := net.Listen("tcp", fmt.Sprintf("127.%d.250.1:7099", 10*instance+1))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = claim.Close() })
		return instance
	}
	t.Fatal("all instances are claimed")
	return 0
}

// smallDeployment is a deployment with fewer processes.
func smallDeployment(t *testing.T) deployment.Deployment {
	t.Helper()
	d, err := deployment.New("restrepo", claimInstance(t))
	if err != nil {
		t.Fatal(err)
	}
	most := map[deployment.Role]int{
		deployment.RoleScheduler: deployment.Schedulers, deployment.RoleFront: testFronts,
		deployment.RoleAgent: testWorkers, deployment.RoleWorker: testWorkers,
	}
	d.Processes = slices.DeleteFunc(d.Processes, func(process deployment.Process) bool {
		most[process.Role]--
		return most[process.Role] < 0
	})
	d.Shapes.Short.JobsPerSecond, d.Shapes.Batch.JobsPerSecond = testShortJobsPerSecond, testBatchJobsPerSecond
	return d
}

// TestRun_RefusesPreviousProgramsThatAreMissing: a folder without programs is
// named before anything is started.
func TestRun_RefusesPreviousProgramsThatAreMissing(t *testing.T) {
	_, err := Run(t.Context(), Config{
		Deployment: smallDeployment(t), Scenario: scenario.Scenario{Name: "none", FirstVersion: fleet.PreviousVersion},
		Out: t.TempDir(), Binaries: t.TempDir(), PreviousBinaries: t.TempDir(),
	})
	if err == nil {
		t.Fatal("a run without programs was begun")
	}
}
