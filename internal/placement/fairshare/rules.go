package fairshare

// QueueRule holds the settings of a queue that placement needs.
type QueueRule struct {
	Name string
	// MaxRunning bounds open runs; 0 means unlimited.
	MaxRunning int
	// Weight is the weight of the queue's share; values below 1 count as 1.
	Weight int
	// BySlack is set if the Sequence of a task expresses its urgency compared with the
	// tasks of other queues with BySlack, regardless of weights.
	BySlack bool
	// Team is the name of the queue's team, or empty.
	Team string
	// HeadroomPercent is the percentage of each worker that tasks of the queue leave free. Gangs
	// and tasks with a spread rule leave none.
	HeadroomPercent int
}

// TeamRule holds the settings of a team that placement needs. MaxRunning bounds the open
// runs of all its queues together; 0 means unlimited.
type TeamRule struct {
	Name       string
	MaxRunning int
}

// Deference lists the queues to which a queue defers under load.
type Deference struct {
	Queue string
	To    []string
}

// Limit is a limit on open runs that does not allow the requested ones, and the number of
// runs counted against it.
type Limit struct {
	// Kind is "queue" or "team"; Name is the name of that queue or team.
	Kind, Name string
	Running    int
	MaxRunning int
}
