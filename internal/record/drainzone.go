package record

import "slices"

// applyDrainZone drains a zone by an order of its own, or takes that back. The
// configuration's drains stand beside it.
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
