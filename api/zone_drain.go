package api

// ZoneDrain is the answer of PUT and DELETE /v1/drains/zones/{zone} and a row
// of GET /v1/drains. It is an order of its own, beside the drains of the
// configuration: a worker is drained if either says so, and neither a new
// configuration nor a restart undoes it.
type ZoneDrain struct {
	Zone string `json:"zone"`
	// Drained: the zone's workers get no new work. False takes that back.
	Drained bool `json:"drained"`
}

// DrainList is the answer of GET /v1/drains: the zones that are drained by an
// order of their own, by name.
type DrainList struct {
	Zones []ZoneDrain `json:"zones"`
}
