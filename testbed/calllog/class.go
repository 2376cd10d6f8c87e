package calllog

// Class distinguishes the jobs that a scenario submits from the ordinary load.
type Class string

// Classes of jobs.
const (
	ClassOrdinary Class = ""
	// ClassBackground jobs only use up capacity.
	ClassBackground Class = "background"
	// ClassBooked and ClassUnbooked are two equal bursts of jobs, submitted when a booked
	// window begins: one to the queue with the booking, one to a queue without.
	ClassBooked   Class = "booked"
	ClassUnbooked Class = "unbooked"
	// ClassImpossible and ClassOverQuota jobs must be rejected.
	ClassImpossible Class = "impossible"
	ClassOverQuota  Class = "over_quota"
	// ClassDiscarded jobs are cancelled in bulk.
	ClassDiscarded Class = "discarded"
)

// Milestone names a time that a scenario records. Milestones delimit the phases that the
// checker and the report compare.
type Milestone string

// The milestones.
const (
	// MilestoneBooked is the start of a booked window.
	MilestoneBooked Milestone = "booked"
	// MilestoneFloodStart and MilestoneFloodEnd are the start and the end of a flood.
	MilestoneFloodStart Milestone = "flood_start"
	MilestoneFloodEnd   Milestone = "flood_end"
)
