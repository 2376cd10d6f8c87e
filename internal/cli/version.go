package cli

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// buildVersion is the result of "version".
type buildVersion struct {
	// Version is that of the module, "(devel)" for a build outside of a
	// module version.
	Version string `json:"version"`
	// Revision is the commit that it was built from, if known.
	Revision string `json:"revision,omitempty"`
	// Modified is set if the working tree had uncommitted changes.
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

// versionCommand shows what this program was built from.
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
			version := readBuild()
			return a.print(version, func(writer io.Writer) {
				_, _ = fmt.Fprintf(writer, "decklever %s %s\n", version.Version, version.Go)
			})
		},
	}
}

// readBuild returns the build information of this program.
func readBuild() buildVersion {
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
