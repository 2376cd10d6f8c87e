package cli

import (
	"encoding/xml"
	"errors"
	"image/png"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/decklever/decklever/api"
)

// timelineReplies returns the answers of a fleet with 8 CPUs on w1 and 2 on w2.
// Those of w3, which is lost, do not count towards the fleet's capacity.
func timelineReplies() map[string][]reply {
	replies := fleetReplies()
	replies["GET /v1/workers"] = []reply{okReply(api.WorkerList{Workers: []api.WorkerStatus{
		{Name: "w2", State: api.WorkerReady, Capacity: api.Resources{CPUMillis: 2000, MemoryMB: 64}},
		{Name: "w1", State: api.WorkerReady, Capacity: api.Resources{CPUMillis: 8000, MemoryMB: 16}, Used: api.Resources{CPUMillis: 1000}, Runs: 1},
		{Name: "w3", State: api.WorkerLost, Capacity: api.Resources{CPUMillis: 90_000}},
	}})}
	return replies
}

func TestTimeline_PrintsChart(t *testing.T) {
	for _, c := range []struct{ arguments, golden string }{
		{"timeline", "timeline_worker.txt"},
		{"timeline --by queue --width 60", "timeline_queue.txt"},
	} {
		front := newFakeFront(t, timelineReplies())
		got := runCommand(t, front, "", strings.Fields(c.arguments)...)
		want, err := os.ReadFile(filepath.Join("testdata", c.golden))
		if err != nil {
			t.Error(err)
		}
		assertText(t, c.arguments, got.out+got.err, string(want))
		assertText(t, "query", front.requestsTo("GET /v1/bookings")[0].query, "hours=12")
	}
}

func TestTimeline_EmptyFleetHasNoRows(t *testing.T) {
	replies := map[string][]reply{"GET /v1/workers": {okReply(api.WorkerList{})}, "GET /v1/queues": {okReply(api.QueueList{})}, "GET /v1/bookings": {okReply(api.BookingList{})}}
	path := filepath.Join(t.TempDir(), "rooms.svg")
	for _, arguments := range []string{"timeline", "timeline --svg " + path} {
		if got := runCommand(t, newFakeFront(t, replies), "", strings.Fields(arguments)...); got.code != ExitOK {
			t.Errorf("%s: got exit code %d, want 0: %s", arguments, got.code, got.err)
		}
	}
	got := runCommand(t, newFakeFront(t, replies), "", "timeline", "-o", "json")
	assertText(t, "JSON", got.out, jsonOf(timeline{From: testNow, To: testNow.Add(12 * time.Hour), By: byWorker, Rows: []timelineRow{}}))
}

func TestTimelineRow_PeakIsLargestShare(t *testing.T) {
	at := func(hours int) time.Time { return testNow.Add(time.Duration(hours) * time.Hour) }
	cpu := func(amount int64) api.Resources { return api.Resources{CPUMillis: amount} }
	row := timelineRow{Capacity: cpu(10), Booked: []bookedInterval{
		{From: at(0), To: at(2), Resources: cpu(4)}, {From: at(1), To: at(3), Resources: cpu(5)}, {From: at(3), To: at(4), Resources: cpu(12)},
	}}
	cases := []struct {
		from, to int
		share    float64
	}{{0, 1, 0.4}, {0, 2, 0.9}, {2, 3, 0.5}, {2, 4, 1.2}, {4, 5, 0}}
	for _, c := range cases {
		if got := row.peak(at(c.from), at(c.to)); got != c.share {
			t.Errorf("peak from %d to %d: got %v, want %v", c.from, c.to, got, c.share)
		}
	}
	for share, want := range map[float64]string{0: ".0%", 0.001: "▁1%", 0.07: "▁7%", 0.125: "▁13%", 0.126: "▂13%", 1: "█100%", 1.01: "!101%", dominantShare(cpu(1), cpu(0)): "!>999%"} {
		assertText(t, "bar character and percentage", string(barCharacter(share))+formatPercent(share), want)
	}
}

func TestHourTicks_FitAndFollowLocalTime(t *testing.T) {
	zone := time.FixedZone("", 5*3600+1800)
	for hours, want := range map[int]string{1: "19:00", 12: "20:00 22:00 00:00 02:00 04:00 06:00", 168: "Feb 01 Feb 02 Feb 03 Feb 04 Feb 05 Feb 06 Feb 07"} {
		view := timeline{From: testNow, To: testNow.Add(time.Duration(hours) * time.Hour)}
		var labels []string
		for _, hour := range hourTicks(view, zone, 60) {
			labels = append(labels, hour.label)
		}
		assertText(t, "labels", strings.Join(labels, " "), want)
	}
}

func TestTimeline_WritesDrawings(t *testing.T) {
	directory := t.TempDir()
	drawToFile := func(flag, name string) *os.File {
		path := filepath.Join(directory, name)
		got := runCommand(t, newFakeFront(t, timelineReplies()), "", "timeline", flag, path)
		assertText(t, name, got.out+got.err, path+" is written\n")
		file, err := os.Open(path)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		return file
	}
	texts, shapes := svgContent(t, drawToFile("--svg", "rooms.svg"))
	for _, want := range []string{"w1", "w2", "w3", unplacedRow, "16:00", "booked", "in use"} {
		if !strings.Contains(texts, want) {
			t.Errorf("want text %q in the drawing, got %s", want, texts)
		}
	}
	if shapes == 0 {
		t.Error("got no paths in the drawing, want at least one")
	}
	picture, err := png.Decode(drawToFile("--png", "rooms.png"))
	if err != nil || picture.Bounds().Dx() < 800 || picture.Bounds().Dy() < 200 {
		t.Errorf("got picture %v, error %v, want at least 800 x 200 pixels", picture, err)
	}
	got := runCommand(t, newFakeFront(t, timelineReplies()), "", "timeline", "--svg", directory)
	if got.code != ExitUsage || !strings.HasPrefix(got.err, "decklever: "+directory+": ") {
		t.Errorf("drawing into a directory: got exit code %d, %s, want a usage error with its path", got.code, got.err)
	}
}

// svgContent returns the texts of an SVG drawing, separated by newlines, and the
// number of its paths.
func svgContent(t *testing.T, reader io.Reader) (texts string, paths int) {
	t.Helper()
	decoder := xml.NewDecoder(reader)
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return texts, paths
		}
		if err != nil {
			t.Fatal(err)
		}
		switch token := token.(type) {
		case xml.CharData:
			texts += strings.TrimSpace(string(token)) + "\n"
		case xml.StartElement:
			if token.Name.Local == "path" {
				paths++
			}
		}
	}
}
