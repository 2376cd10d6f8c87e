package api

// checkResources validates the resources of one task or slice.
func checkResources(errors *fieldErrors, path string, room Resources) {
	checkRange(errors, path+".cpu_millis", room.CPUMillis, 1, MaxResource)
	checkRange(errors, path+".memory_mb", room.MemoryMB, 0, MaxResource)
	checkRange(errors, path+".accelerators", room.Accelerators, 0, MaxResource)
}
