package api

// ZoneDrain is the answer of PUT and DELETE /v1/drains/zones/{zone} and an
// element of DrainList. It is an order beside the configuration's drains: a
// worker is drained if either says so, and neither a new configuration nor a
// restart undoes it.
type ZoneDrain struct {
	Zone string `json:"zone"`
	// Drained says that the zone's workers get no new tasks.
	Drained bool `json:"drained"`
}

// DrainList is the answer of GET /v1/drains: the zones with a drain order, by
// name.
type DrainList struct {
	Zones []ZoneDrain `json:"zones"`
}
