package cli

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/decklever/decklever/api"
)

// queueFieldPattern matches the field path of a queue or of one of its
// bookings; its groups are the index of the queue and of the booking.
var queueFieldPattern = regexp.MustCompile(`^queues\[(\d+)\](?:\.bookings\[(\d+)\])?`)

// configRejectedError returns the error for a failed request that carried a
// configuration. The paths of invalid fields have the index of a queue or
// booking; it adds the name, which is easier to find in the file.
func configRejectedError(action string, cause error, config *api.Config) *exitError {
	exitErr := requestError(action, cause)
	namedFields := make([]api.FieldError, len(exitErr.fields))
	for index, field := range exitErr.fields {
		if name := fieldOwner(field.Field, config); name != "" {
			field.Field = fmt.Sprintf("%s (%s)", field.Field, name)
		}
		namedFields[index] = field
	}
	exitErr.fields = namedFields
	return exitErr
}

// fieldOwner returns the kind and name of the queue or booking that a field
// belongs to. It returns "" if there is none or if the field is the name
// itself.
func fieldOwner(path string, config *api.Config) string {
	match := queueFieldPattern.FindStringSubmatch(path)
	if match == nil || strings.HasSuffix(path, ".name") {
		return ""
	}
	index, err := strconv.Atoi(match[1])
	if err != nil || index >= len(config.Queues) {
		return ""
	}
	queue := config.Queues[index]
	if match[2] == "" {
		return "queue " + queue.Name
	}
	index, err = strconv.Atoi(match[2])
	if err != nil || index >= len(queue.Bookings) {
		return ""
	}
	return "booking " + bookingName{queue: queue.Name, name: queue.Bookings[index].Name}.String()
}
