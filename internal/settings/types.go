package settings

import (
	"github.com/decklever/decklever/api"
)

// The struct tags of each key in this file:
//
//   - koanf: the key's name in the file; with its section, also the name of its flag
//   - validate: the rule, in the syntax of package validator
//   - expected: the rule in words, for error messages
//   - usage: the help text of the flag
//   - live: "true" if a change takes effect without a restart

// Common has the settings that all daemons share.
type Common struct {
	// Name is the process's name, unique in the fleet. Required.
	Name string `koanf:"name" validate:"required,process_name" expected:"1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'" usage:"name of this process, unique in the fleet (required)"`
	// Zone is the zone of the machine. Required.
	Zone string `koanf:"zone" validate:"required,process_name" expected:"1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'" usage:"zone that the machine stands in (required)" live:"true"`
	// Listen is the IP:port to listen on. Required.
	Listen string `koanf:"listen" validate:"required,ip_port" expected:"an IP address and port, such as 127.0.0.1:7100" usage:"IP:port to listen on (required)"`
	// Advertise is the IP:port at which other processes reach this one. Default: Listen.
	Advertise string `koanf:"advertise" validate:"omitempty,ip_port,reachable" expected:"an IP address and port that others can reach, such as 127.0.0.1:7100" usage:"IP:port that others reach this process at (default: listen)"`
	// Source is the local IP address of connections to other processes, for machines with
	// several addresses. Default: chosen by the operating system.
	Source string `koanf:"source" validate:"omitempty,source_ip" expected:"an IP address of this machine, such as 127.0.0.1" usage:"IP address that connections leave from (default: the system's choice)"`
	// Seeds are the IP:port of one or more schedulers. Required.
	Seeds []string `koanf:"seeds" validate:"min=1,unique,dive,ip_port,reachable" expected:"one or more different IP:port of schedulers" usage:"IP:port of schedulers, separated by commas (required)" live:"true"`
	// ShutdownDelay is how long the process continues to serve after a stop request, while
	// it reports itself as not ready, so that callers can switch to another process.
	// Default 0s.
	ShutdownDelay api.Duration `koanf:"shutdown_delay" validate:"min=0" expected:"a duration, 0 or more, such as \"1s\"" usage:"how long to go on serving after a stop was asked for and readiness is off"`
	// StopTimeout bounds a stop without the shutdown delay: handing over duties, finishing
	// requests, ending the background functions. Default 2s.
	StopTimeout api.Duration `koanf:"stop_timeout" validate:"gt=0" expected:"a duration over 0, such as \"2s\"" usage:"bound on the rest of a stop, after the shutdown delay"`
	// MaxConnections bounds the open incoming connections, on all addresses together. At the
	// limit, a new connection replaces the one idle for longest. It is lowered to what the
	// process's limit on file descriptors allows. Default 0: what that limit allows, up to
	// 4096.
	MaxConnections int  `koanf:"max_connections" validate:"min=0" expected:"a whole number, 0 or more" usage:"bound on open connections that came in, never above what the process's descriptors allow (0: only that, up to 4096)"`
	Log            Log  `koanf:"log"`
	Test           Test `koanf:"test"`
}

// AdvertisedAddress returns the IP:port at which other processes reach this one: Advertise, or else
// Listen.
func (c *Common) AdvertisedAddress() string {
	if c.Advertise != "" {
		return c.Advertise
	}
	return c.Listen
}

// Log has the settings of the log.
type Log struct {
	// Level is the lowest level that is logged: debug, info, warn or error. Default info.
	Level string `koanf:"level" validate:"oneof=debug info warn error" expected:"debug, info, warn or error" usage:"lowest level that is logged: debug, info, warn or error" live:"true"`
	// Format is the format of log lines: text or json. Default text.
	Format string `koanf:"format" validate:"oneof=text json" expected:"text or json" usage:"form of log lines: text or json"`
}

// Test has settings for tests and trials only.
type Test struct {
	// WallClockOffset is added to the wall-clock time that the process reads. It may be
	// negative. Default 0s.
	WallClockOffset api.Duration `koanf:"wall_clock_offset" usage:"for trials: added to the wall clock that this process reads" live:"true"`
}

// Scheduler has the settings of decklever-scheduler.
type Scheduler struct {
	Common `koanf:",squash"`
	// Relay makes the process a scheduler without a replica and a data folder: it never
	// votes, and forwards operators' calls to the leader. Default false.
	Relay bool `koanf:"relay" expected:"true or false" usage:"keep no record and only pass operators' calls to the leader"`
	// DataDir is the folder of the replica's log, snapshots and archive. Required unless
	// Relay is set.
	DataDir string `koanf:"data_dir" expected:"a folder" usage:"folder of the log, snapshots and archive (required unless relay is set)"`
	// MayForm allows a process with an empty data folder to take part in forming a new
	// cluster. If false, the process waits for an existing cluster to join. Default true.
	MayForm bool `koanf:"may_form" expected:"true or false" usage:"whether an empty data folder may take part in forming a new cluster"`
	// ToleratedFailures is the number of schedulers that may fail at the same time without loss of
	// the quorum: up to twice this number plus one are voters, further ones are standby
	// replicas. Default 2.
	ToleratedFailures int `koanf:"tolerate" validate:"min=0,max=4" expected:"a whole number, 0 to 4" usage:"schedulers whose loss at once is borne; twice as many and one vote"`
	// Timing has the intervals and timeouts of the replicated log.
	Timing SchedulerTiming `koanf:"timing"`
	// ArchiveMaxBytes bounds the archive of ended jobs, in bytes; beyond it the oldest jobs
	// are deleted. Default 25165824.
	ArchiveMaxBytes int64 `koanf:"archive_max_bytes" validate:"min=1048576" expected:"a whole number of bytes, at least 1048576" usage:"bytes of ended jobs kept; the oldest are dropped beyond it, the file may take twice as much"`
	// SnapshotEvery is the number of log entries after which a snapshot is taken at the
	// latest. Default 10000.
	SnapshotEvery uint64 `koanf:"snapshot_every" validate:"min=1" expected:"a whole number, at least 1" usage:"log entries between two snapshots"`
	// LeaderGCPercent is the GC percentage while this process leads: how much memory may be
	// allocated between two garbage collections, in percent of the memory in use. Default
	// 0: the environment variable GOGC applies, 100 without it.
	LeaderGCPercent int `koanf:"leader_gc_percent" validate:"min=0,max=1000" expected:"a whole number, 0 to 1000" usage:"percent of the memory in use that the leader allocates anew between two collections of garbage (0: GOGC)"`
	// Processors is GOMAXPROCS, the number of goroutines that run at the same time. Default
	// 0: the number of the machine's cores, but at least two, since a file sync may block
	// one of them.
	Processors int `koanf:"processors" validate:"min=0,max=256" expected:"a whole number, 0 to 256" usage:"goroutines that run at once (0: one for each core, two at least, since a sync may hold one up)"`
	// Experiment disables features of the scheduler, to measure their effect.
	Experiment Experiment `koanf:"experiment"`
}

// Experiment has settings for measuring the effect of the scheduler's features.
type Experiment struct {
	// DisabledFeatures has the names of the disabled features, which package featuregate lists. Default
	// none.
	DisabledFeatures []string `koanf:"off" validate:"unique,dive,mechanism" expected:"different names of mechanisms, such as \"headroom\" (docs/notes/ablation.md lists them)" usage:"for experiments: mechanisms of placement and scheduling that are switched off, separated by commas"`
}

// SchedulerTiming has the intervals and timeouts of the replicated log. They must satisfy
// Tick < Lease < ElectionTimeoutMin <= ElectionTimeoutMax.
type SchedulerTiming struct {
	// Tick is the interval at which the timers of the log advance. Default 50ms.
	Tick api.Duration `koanf:"tick" validate:"gt=0" expected:"a duration over 0, such as \"50ms\"" usage:"pause between two steps of the log's timers"`
	// ElectionTimeoutMin is the shortest time without a message from the leader after which
	// a follower starts an election. Default 500ms.
	ElectionTimeoutMin api.Duration `koanf:"election_timeout_min" validate:"gt=0" expected:"a duration over 0, such as \"500ms\"" usage:"shortest silence of the leader before an election"`
	// ElectionTimeoutMax is the longest time without a message from the leader after which
	// a follower starts an election. Default 1s.
	ElectionTimeoutMax api.Duration `koanf:"election_timeout_max" validate:"gt=0" expected:"a duration over 0, such as \"1s\"" usage:"longest silence of the leader before an election"`
	// Lease is the duration of the leader's lease, from the time it sent a heartbeat round
	// that a quorum answered. Default 400ms.
	Lease api.Duration `koanf:"lease" validate:"gt=0" expected:"a duration over 0, such as \"400ms\"" usage:"how long a leader acts on one round of answers"`
}

// Front has the settings of decklever-front.
type Front struct {
	Common `koanf:",squash"`
	// Deadline bounds the work on one request, not counting the time of its long poll; after
	// it the front responds with 503. Default 3s.
	Deadline api.Duration `koanf:"deadline" validate:"gt=0" expected:"a duration over 0, such as \"3s\"" usage:"bound on the work on one request" live:"true"`
	// MaxInflight bounds the long polls in progress and, separately, the other requests in
	// progress. Default 1024.
	MaxInflight int `koanf:"max_inflight" validate:"min=1" expected:"a whole number, at least 1" usage:"bound on requests worked on at once" live:"true"`
}

// Agent has the settings of decklever-agent.
type Agent struct {
	Common `koanf:",squash"`
	// RelayTimeout bounds the relay of one heartbeat. Default 1s.
	RelayTimeout api.Duration `koanf:"relay_timeout" validate:"gt=0" expected:"a duration over 0, such as \"1s\"" usage:"bound on the relay of one heartbeat"`
}

// Worker has the settings of decklever-worker.
type Worker struct {
	// Name is the worker's name, unique in the fleet and the same after a restart. Required.
	Name string `koanf:"name" validate:"required,process_name" expected:"1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'" usage:"name of this worker, unique in the fleet (required)"`
	// Agent is the URL of the agent on this machine. Required.
	Agent string `koanf:"agent" validate:"required,agent_url" expected:"a URL such as http://127.0.0.1:7300" usage:"URL of the agent on this machine (required)"`
	// Capacity has the resources available to tasks. Default: one core, 1024 MiB.
	Capacity api.Resources `koanf:"capacity" validate:"min=0" expected:"a whole number, 0 or more" usage:"room for tasks"`
	// Services are the names of the task handlers that the worker offers. Default: sleep,
	// fail, flaky, slow.
	Services []string `koanf:"services" validate:"min=1,unique,dive,required" expected:"one or more different names of handlers" usage:"handlers offered, separated by commas"`
	// Labels are the worker's labels. Default none.
	Labels map[string]string `koanf:"labels" usage:"labels of the worker, as KEY=VALUE separated by commas"`
	// Journal is the path of a file to which the worker appends a line at each start and
	// end of a run. Default none.
	Journal string `koanf:"journal" usage:"file that gets a line at each start and end of a run"`
	Log     Log    `koanf:"log"`
}
