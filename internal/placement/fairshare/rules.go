package fairshare

// QueueRule is what placement must know of a queue.
type QueueRule struct {
	Name string
	// MaxRunning bounds open runs; 0 is no bound.
	MaxRunning int
	// Weight is the queue's share against others; at least 1.
	Weight int
	// BySlack: Sequence tells how urgent a task is against those of other queues with
	// it, whatever their weights.
	BySlack bool
	// Team is the queue's team, or empty.
	Team string
	// Headroom is the share of each worker that tasks of the queue leave free, in
	// hundredths; gangs do not.
	Headroom int
}

// TeamRule is what placement must know of a team. MaxRunning bounds the open runs of
// its queues together; 0 is no bound.
type TeamRule struct {
	Name       string
	MaxRunning int
}

// Deference says that a queue lets others go first under load.
type Deference struct {
	Queue string
	To    []string
}

// Limit is the bound that holds something back, and what counts against it.
type Limit struct {
	// Kind is "queue" or "team", Name whose limit it is.
	Kind, Name string
	Running    int
	MaxRunning int
}
