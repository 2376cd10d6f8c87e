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

// Mark names a time that a scenario sets, by which its phases are judged.
type Mark string

// Marks.
const (
	// MarkBooked is the start of a booked window.
	MarkBooked Mark = "booked"
	// MarkFloodStart and MarkFloodEnd frame a flood.
	MarkFloodStart Mark = "flood_start"
	MarkFloodEnd   Mark = "flood_end"
)
