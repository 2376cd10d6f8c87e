package api

// ValidateZoneDrain validates the drain of a zone and returns every invalid field.
func ValidateZoneDrain(drain *ZoneDrain) []FieldError {
	var errors fieldErrors
	if !ValidZone(drain.Zone) {
		errors.add("zone", drain.Zone, "1 to 64 of a-z, A-Z, 0-9, '-', '_' or '.'")
	}
	return errors.result()
}
