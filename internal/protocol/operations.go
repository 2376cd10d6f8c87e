package protocol

import "github.com/decklever/decklever/api"

// WorkersAnswer lists the registered workers.
type WorkersAnswer struct {
	List api.WorkerList `cbor:"1,keyasint"`
}

// MembersAnswer lists the schedulers.
type MembersAnswer struct {
	List api.MemberList `cbor:"1,keyasint"`
}

// QueuesAnswer lists the queues.
type QueuesAnswer struct {
	List api.QueueList `cbor:"1,keyasint"`
}

// QueueRequest reads one queue.
type QueueRequest struct {
	Name string `cbor:"1,keyasint"`
}

// QueueAnswer contains the status of one queue.
type QueueAnswer struct {
	Status api.QueueStatus `cbor:"1,keyasint"`
}

// BookingsRequest lists the booking windows that overlap the period from now to
// HorizonMillis after now.
type BookingsRequest struct {
	HorizonMillis int64 `cbor:"1,keyasint"`
}

// BookingsAnswer lists booking windows.
type BookingsAnswer struct {
	List api.BookingList `cbor:"1,keyasint"`
}

// ReleaseRequest releases the reserved slots of a booking window. A duplicate has no
// effect.
type ReleaseRequest struct {
	Release api.ReleaseRequest `cbor:"1,keyasint"`
}

// DrainZoneRequest drains a zone, or ends its drain. A duplicate has no effect.
type DrainZoneRequest struct {
	Drain api.ZoneDrain `cbor:"1,keyasint"`
	// Revision refuses the order if another one on its zone was taken since. nil, as in
	// requests of earlier programs, carries it out in any case.
	Revision *DrainRevision `cbor:"2,keyasint,omitempty"`
}

// DrainsAnswer lists the zones that are being drained by a DrainZoneRequest.
type DrainsAnswer struct {
	List api.DrainList `cbor:"1,keyasint"`
}
