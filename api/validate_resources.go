package api

// checkResources validates the resources of one task or slice.
func checkResources(errors *fieldErrors, path string, resources Resources) {
	checkRange(errors, path+".cpu_millis", resources.CPUMillis, 1, MaxResource)
	checkRange(errors, path+".memory_mb", resources.MemoryMB, 0, MaxResource)
	checkRange(errors, path+".accelerators", resources.Accelerators, 0, MaxResource)
}
