package calllog

// Class separates what a scenario submits from the ordinary load.
type Class string

// Classes.
const (
	ClassOrdinary Class = ""
	// ClassBackground only uses up capacity.
	ClassBackground Class = "background"
	// ClassBooked and ClassUnbooked are two equal bursts at a booked moment.
	ClassBooked   Class = "booked"
	ClassUnbooked Class = "unbooked"
	// ClassImpossible and ClassOverQuota must be rejected.
	ClassImpossible Class = "impossible"
	ClassOverQuota  Class = "over_quota"
	// ClassDiscarded is cancelled in bulk.
	ClassDiscarded Class = "discarded"
)

// Milestone names a time that a scenario records, by which its phases are compared.
type Milestone string

// Marks.
const (
	// MilestoneBooked is the start of a booked window.
	MilestoneBooked Milestone = "booked"
	// MilestoneFloodStart and MilestoneFloodEnd are the beginning and the end of a
	// flood.
	MilestoneFloodStart Milestone = "flood_start"
	MilestoneFloodEnd   Milestone = "flood_end"
)
