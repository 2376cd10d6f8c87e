package api

// ZoneDrain is the answer of PUT and DELETE /v1/drains/zones/{zone} and an
// element of DrainList. It is independent of DrainConfig: a worker is drained if
// either drains it, and neither a new configuration nor a restart removes a
// ZoneDrain.
type ZoneDrain struct {
	Zone string `json:"zone"`
	// Drained is true if the zone's workers get no new tasks.
	Drained bool `json:"drained"`
}

// DrainList is the answer of GET /v1/drains: the zones with a ZoneDrain, sorted
// by name.
type DrainList struct {
	Zones []ZoneDrain `json:"zones"`
	// Revision is the revision of the list, for If-Match of PUT and DELETE
	// /v1/drains/zones/{zone}. Its form is not specified. Empty if the leader
	// is an earlier program that gives none.
	Revision string `json:"revision,omitempty"`
}
