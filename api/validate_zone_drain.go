package api

// ValidateZoneDrain validates a drain order and returns every invalid field.
func ValidateZoneDrain(drain *ZoneDrain) []FieldError {
	var errors fieldErrors
	if !ValidZone(drain.Zone) {
		errors.add("zone", drain.Zone, "1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'")
	}
	return errors.result()
}
