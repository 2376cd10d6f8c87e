package calllog

// Class tells what a scenario hands in from the ordinary load.
type Class string

// Classes.
const (
	ClassOrdinary Class = ""
	// ClassBackground only takes room.
	ClassBackground Class = "background"
	// ClassBooked and ClassUnbooked are two equal bursts at a booked moment.
	ClassBooked   Class = "booked"
	ClassUnbooked Class = "unbooked"
	// ClassImpossible and ClassOverQuota are to be refused.
	ClassImpossible Class = "impossible"
	ClassOverQuota  Class = "over_quota"
	// ClassDiscarded is cancelled in mass.
	ClassDiscarded Class = "discarded"
)

// Milestone names a time that a scenario sets, by which its phases are judged.
type Milestone string

// Marks.
const (
	// MilestoneBooked is the start of a booked window.
	MilestoneBooked Milestone = "booked"
	// MilestoneFloodStart and MilestoneFloodEnd frame a flood.
	MilestoneFloodStart Milestone = "flood_start"
	MilestoneFloodEnd   Milestone = "flood_end"
)
