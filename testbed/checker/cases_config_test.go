package checker

import "github.com/decklever/decklever/testbed/calllog"

// configCases are the cases of configurations: versions, races and rollout.
func configCases() []violationCase {
	return []violationCase{
		{
			"versions that do not grow", P8,
			func(f *fixture) { f.putConfig("a", 2, 100, ""); f.putConfig("b", 1, 200, "") },
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.putConfig("b", 2, 200, "") },
		},
		{
			"a resent order acknowledged with another version", P8,
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.putConfig("a", 2, 200, "") },
			func(f *fixture) {
				f.putConfig("a", 1, 100, "")
				f.putConfig("b", 2, 150, "")
				f.putConfig("a", 1, 200, "")
			},
		},
		{
			"two orders with one version", P8,
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.putConfig("b", 1, 105, "") },
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.putConfig("b", 2, 105, "") },
		},
		{
			"a read of a version lower than the acknowledged one", P8,
			func(f *fixture) { f.putConfig("a", 2, 100, ""); f.readConfig(1, 200, "") },
			func(f *fixture) { f.putConfig("a", 2, 100, ""); f.readConfig(2, 200, "") },
		},
		{
			"a content in force other than the acknowledged one", P8,
			func(f *fixture) { f.putConfig("a", 1, 100, "won"); f.readConfig(1, 200, "lost") },
			func(f *fixture) { f.putConfig("a", 1, 100, "won"); f.readConfig(1, 200, "won") },
		},
		{
			"a process whose version decreases", P8,
			func(f *fixture) { f.rollout("front-1", 3, 100, 0); f.rollout("front-1", 2, 200, 0) },
			func(f *fixture) {
				f.rollout("front-1", 3, 100, 0)
				f.rollout("front-2", 2, 200, 0)
				f.rollout("front-1", 3, 300, 0)
			},
		},
		{
			"a configuration that is not in force in time", P8,
			func(f *fixture) { f.putConfig("a", 2, 100, ""); f.rollout("front-1", 1, 2900, 700) },
			func(f *fixture) { f.putConfig("a", 2, 100, ""); f.rollout("front-1", 1, 2900, 900) },
		},
		{
			"a started process that does not receive the configuration in time", P8,
			func(f *fixture) {
				f.putConfig("a", 2, 100, "")
				f.fault("front-1", 3000, calllog.ActionExit)
				f.fault("front-1", 4000, calllog.ActionStart)
				f.rollout("front-1", 0, 6100, 0)
			},
			func(f *fixture) {
				f.putConfig("a", 2, 100, "")
				f.rollout("front-1", 2, 2900, 0)
				f.fault("front-1", 3000, calllog.ActionExit)
				f.fault("front-1", 4000, calllog.ActionStart)
				f.rollout("front-1", 0, 5900, 0)
				f.rollout("front-1", 2, 6100, 0)
			},
		},
		{
			"a resumed process that does not receive the configuration in time", P8,
			func(f *fixture) {
				f.fault("front-1", 50, calllog.ActionFreeze)
				f.putConfig("a", 2, 100, "")
				f.fault("front-1", 4000, calllog.ActionResume)
				f.rollout("front-1", 1, 6100, 0)
			},
			func(f *fixture) {
				f.fault("front-1", 50, calllog.ActionFreeze)
				f.putConfig("a", 2, 100, "")
				f.fault("front-1", 4000, calllog.ActionResume)
				f.rollout("front-1", 1, 5900, 0)
			},
		},
		{
			"two winners on one base", P8,
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.putConfig("b", 2, 105, ""); f.Entries[1].Base = 0 },
			func(f *fixture) {
				f.putConfig("a", 1, 100, "")
				f.rejectPut("b", 1, 105, "other")
				f.putConfig("a", 1, 200, "")
			},
		},
		{
			"a rejected order that is acknowledged later", P8,
			func(f *fixture) { f.rejectPut("a", 1, 100, ""); f.putConfig("a", 1, 200, "") },
			func(f *fixture) { f.rejectPut("a", 1, 100, ""); f.rejectPut("a", 1, 200, "") },
		},
		{
			"an acknowledged order that is rejected later", P8,
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.rejectPut("a", 1, 200, "") },
			func(f *fixture) { f.putConfig("a", 1, 100, ""); f.putConfig("a", 1, 200, "") },
		},
		{
			"a rejected content in force under an unknown version", P8,
			func(f *fixture) { f.rejectPut("a", 1, 100, "lost"); f.readConfig(7, 200, "lost") },
			func(f *fixture) {
				f.rejectPut("a", 1, 100, "lost")
				f.putConfig("b", 1, 150, "lost")
				f.readConfig(1, 200, "lost")
			},
		},
	}
}
