package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildVersion is the result of "version".
type buildVersion struct {
	// Version is the version of the main module, "(devel)" for a build without
	// one, or "unknown" without build information.
	Version string `json:"version"`
	// Revision is the commit that the program was built from, if known.
	Revision string `json:"revision,omitempty"`
	// Modified is set if the working tree had uncommitted changes at build time.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// versionCommand returns the command that shows the version of this program.
func (a *app) versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:               "version",
		Short:             "Show the version of this program",
		Example:           "  decklever version\n  decklever version -o json",
		Args:              cobra.NoArgs,
		ValidArgsFunction: cobra.NoFileCompletions,
		RunE: func(*cobra.Command, []string) error {
			a.started = true
			if err := checkOutputFormat(a.flags.output); err != nil {
				return err
			}
			version := readBuildInfo()
			return a.print(version, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "decklever %s %s\n", version.Version, version.Go)
			})
		},
	}
}

// readBuildInfo returns the build information that the Go toolchain embedded in
// this program.
func readBuildInfo() buildVersion {
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return buildVersion{Version: "unknown"}
	}
	version := buildVersion{Version: build.Main.Version, Go: build.GoVersion}
	for _, setting := range build.Settings {
		switch setting.Key {
		case "vcs.revision":
			version.Revision = setting.Value
		case "vcs.modified":
			version.Modified = setting.Value == "true"
		}
	}
	return version
}
