package checker

import "github.com/decklever/decklever/testbed/calllog"

// configCases are the cases of configurations: versions, races and roll-out.
func configCases() []violationCase {
	return []violationCase{
		{
			"versions that do not grow", P8,
			func(f *fixture) { f.put("a", 2, 100, ""); f.put("b", 1, 200, "") },
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 200, "") },
		},
		{
			"a resent order with another version", P8,
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("a", 2, 200, "") },
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 150, ""); f.put("a", 1, 200, "") },
		},
		{
			"two orders with one version", P8,
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 1, 105, "") },
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 105, "") },
		},
		{
			"a version that goes back", P8,
			func(f *fixture) { f.put("a", 2, 100, ""); f.read(1, 200, "") },
			func(f *fixture) { f.put("a", 2, 100, ""); f.read(2, 200, "") },
		},
		{
			"a losing content in force", P8,
			func(f *fixture) { f.put("a", 1, 100, "won"); f.read(1, 200, "lost") },
			func(f *fixture) { f.put("a", 1, 100, "won"); f.read(1, 200, "won") },
		},
		{
			"a process whose version goes back", P8,
			func(f *fixture) { f.rollout("front-1", 3, 100, 0); f.rollout("front-1", 2, 200, 0) },
			func(f *fixture) {
				f.rollout("front-1", 3, 100, 0)
				f.rollout("front-2", 2, 200, 0)
				f.rollout("front-1", 3, 300, 0)
			},
		},
		{
			"a configuration that is not in force in time", P8,
			func(f *fixture) { f.put("a", 2, 100, ""); f.rollout("front-1", 1, 2900, 700) },
			func(f *fixture) { f.put("a", 2, 100, ""); f.rollout("front-1", 1, 2900, 900) },
		},
		{
			"a started process that does not learn of the configuration in time", P8,
			func(f *fixture) {
				f.put("a", 2, 100, "")
				f.fault("front-1", 3000, calllog.ActionExit)
				f.fault("front-1", 4000, calllog.ActionStart)
				f.rollout("front-1", 0, 6100, 0)
			},
			func(f *fixture) {
				f.put("a", 2, 100, "")
				f.rollout("front-1", 2, 2900, 0)
				f.fault("front-1", 3000, calllog.ActionExit)
				f.fault("front-1", 4000, calllog.ActionStart)
				f.rollout("front-1", 0, 5900, 0)
				f.rollout("front-1", 2, 6100, 0)
			},
		},
		{
			"a resumed process that does not learn of the configuration in time", P8,
			func(f *fixture) {
				f.fault("front-1", 50, calllog.ActionFreeze)
				f.put("a", 2, 100, "")
				f.fault("front-1", 4000, calllog.ActionResume)
				f.rollout("front-1", 1, 6100, 0)
			},
			func(f *fixture) {
				f.fault("front-1", 50, calllog.ActionFreeze)
				f.put("a", 2, 100, "")
				f.fault("front-1", 4000, calllog.ActionResume)
				f.rollout("front-1", 1, 5900, 0)
			},
		},
		{
			"two winners on one base", P8,
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("b", 2, 105, ""); f.Entries[1].Base = 0 },
			func(f *fixture) { f.put("a", 1, 100, ""); f.refuse("b", 1, 105, "other"); f.put("a", 1, 200, "") },
		},
		{
			"a refused order that is acknowledged later", P8,
			func(f *fixture) { f.refuse("a", 1, 100, ""); f.put("a", 1, 200, "") },
			func(f *fixture) { f.refuse("a", 1, 100, ""); f.refuse("a", 1, 200, "") },
		},
		{
			"an acknowledged order that is refused later", P8,
			func(f *fixture) { f.put("a", 1, 100, ""); f.refuse("a", 1, 200, "") },
			func(f *fixture) { f.put("a", 1, 100, ""); f.put("a", 1, 200, "") },
		},
		{
			"a refused content in force under an unknown version", P8,
			func(f *fixture) { f.refuse("a", 1, 100, "lost"); f.read(7, 200, "lost") },
			func(f *fixture) { f.refuse("a", 1, 100, "lost"); f.put("b", 1, 150, "lost"); f.read(1, 200, "lost") },
		},
	}
}
