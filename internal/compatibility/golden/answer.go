package golden

import (
	"fmt"
	"maps"
	"net/http/httptest"
	"slices"
	"strings"
)

// DescribeResponse returns the status, the headers in order of their names and the body of a
// response as one line. Line breaks in the body become spaces, without the last one.
func DescribeResponse(answer *httptest.ResponseRecorder) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d", answer.Code)
	for _, name := range slices.Sorted(maps.Keys(answer.Header())) {
		fmt.Fprintf(&text, " %s: %s;", name, strings.Join(answer.Header()[name], ", "))
	}
	body := strings.TrimSuffix(answer.Body.String(), "\n")
	fmt.Fprintf(&text, " %s", strings.ReplaceAll(body, "\n", " "))
	return text.String()
}
