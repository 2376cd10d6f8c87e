package record

import "slices"

// applyDrainZone sets or clears an operator's drain of a zone. Drains in the
// configuration are independent of it. The slice is cloned because a capture may
// share the previous one.
func (m *Machine) applyDrainZone(drain *DrainZone) {
	position, drained := slices.BinarySearch(m.state.drainedZones, drain.Zone)
	if drained == drain.Drained {
		return
	}
	zones := slices.Clone(m.state.drainedZones)
	if drain.Drained {
		m.state.drainedZones = slices.Insert(zones, position, drain.Zone)
	} else {
		m.state.drainedZones = slices.Delete(zones, position, position+1)
	}
	m.emit(ZoneDrainChanged{Zone: drain.Zone, Drained: drain.Drained})
}
