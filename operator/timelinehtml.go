package operator

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"savorystep"
)

//go:embed timeline.html
var timelinePage string

var timelineTemplate = template.Must(template.New("timeline").Parse(timelinePage))

// Dimensions of the drawing in pixels, and its numbers of levels, ticks and paths.
const (
	laneHeight  = 34
	laneLeft    = 190
	drawWidth   = 1280
	laneRight   = drawWidth - 24
	axisHeight  = 28
	markRadius  = 5
	stackStep   = 6
	stackLevels = 3
	axisTicks   = 8
	// maxPaths bounds the requests whose events are connected by a line. More lines
	// would hide the marks.
	maxPaths = 100
)

// kindColors are the colors of event kinds, distinguishable on light and dark
// backgrounds.
var kindColors = map[savorystep.EventKind]string{
	savorystep.EventApply:      "#2f6fde",
	savorystep.EventDrain:      "#c77d0a",
	savorystep.EventEject:      "#d9480f",
	savorystep.EventFault:      "#d6204e",
	savorystep.EventForce:      "#0c8599",
	savorystep.EventGrant:      "#5c940d",
	savorystep.EventMember:     "#7048e8",
	savorystep.EventPlatform:   "#a61e4d",
	savorystep.EventQuarantine: "#9c36b5",
	savorystep.EventReady:      "#2b8a3e",
	savorystep.EventRefuse:     "#e8590c",
	savorystep.EventRetry:      "#b08900",
	savorystep.EventShift:      "#1098ad",
	savorystep.EventStart:      "#37b24d",
	savorystep.EventStop:       "#868e96",
	savorystep.EventSuspect:    "#e64980",
}

// defaultColor is the color of event kinds that are not in kindColors.
const defaultColor = "#868e96"

// EventKinds returns the known kinds of events in alphabetical order.
func EventKinds() []savorystep.EventKind {
	return slices.Sorted(maps.Keys(kindColors))
}

func kindColor(kind savorystep.EventKind) string {
	if color, ok := kindColors[kind]; ok {
		return color
	}
	return defaultColor
}

// A timelineView is the data of the page template. Positions are in pixels.
type timelineView struct {
	Title         string
	TimeSpan      string
	Missing       []MissingInstance
	InstanceCount int
	Width, Height int
	Left, Right   int
	Top, Bottom   int
	Lanes         []laneView
	Ticks         []tickView
	RequestPaths  []string
	Marks         []markView
	Legend        []legendView
	Rows          []rowView
}

// A laneView is the horizontal lane of an instance. Y is its middle, at which the label
// is drawn. PlaceY positions the place below the label.
type laneView struct {
	Label, Place string
	Y, PlaceY    int
	Shaded       bool
	Top, Height  int
}

// A tickView is a tick of the time axis.
type tickView struct {
	X     float64
	Label string
}

// A markView is the mark of an event. It links to the row of the event.
type markView struct {
	X       float64
	Y       int
	Color   string
	Tooltip string
	Row     int
}

// A legendView is the entry of an event kind in the legend.
type legendView struct {
	Kind  savorystep.EventKind
	Color string
	Count int
}

// A rowView is the table row of an event.
type rowView struct {
	Row                             int
	Time, Instance, Kind, Text      string
	Service, Region, Request, Color string
}

// WriteHTML writes the timeline as a self-contained HTML page.
func (t *Timeline) WriteHTML(w io.Writer, title string) error {
	return timelineTemplate.Execute(w, t.layOut(title))
}

// layOut computes the data of the page template.
func (t *Timeline) layOut(title string) timelineView {
	v := timelineView{Title: title, Missing: t.Missing, InstanceCount: len(t.Instances), Width: drawWidth, Left: laneLeft, Right: laneRight, Top: axisHeight}
	lanes := map[savorystep.InstanceID]int{}
	for i, instance := range t.laneInstances() {
		top := axisHeight + i*laneHeight
		lanes[instance.ID] = i
		v.Lanes = append(v.Lanes, laneView{
			Label: string(instance.ID), Place: placeName(instance.Place), Y: top + laneHeight/2, PlaceY: top + laneHeight/2 + 4,
			Top: top, Height: laneHeight, Shaded: i%2 == 1,
		})
	}
	v.Bottom = axisHeight + len(v.Lanes)*laneHeight
	v.Height = v.Bottom + markRadius
	if len(t.Events) == 0 {
		return v
	}
	scale := newTimeScale(t.Events)
	v.TimeSpan = scale.String()
	v.Ticks = scale.ticks()
	v.addMarks(t.Events, lanes, scale)
	v.addLegend(t.Events)
	return v
}

// laneInstances returns the instances that responded, followed by other instances that
// have events.
func (t *Timeline) laneInstances() []savorystep.Instance {
	list := slices.Clone(t.Instances)
	listed := map[savorystep.InstanceID]bool{}
	for _, instance := range list {
		listed[instance.ID] = true
	}
	for _, event := range t.Events {
		if !listed[event.Instance] {
			listed[event.Instance] = true
			list = append(list, savorystep.Instance{ID: event.Instance})
		}
	}
	return list
}

// addMarks adds the marks and rows of events, and the lines that connect the events of a
// request. lanes holds the index of each instance's lane.
func (v *timelineView) addMarks(events []savorystep.Event, lanes map[savorystep.InstanceID]int, scale timeScale) {
	lastX, level := map[savorystep.InstanceID]float64{}, map[savorystep.InstanceID]int{}
	requestPoints := map[savorystep.RequestID][]string{}
	var requests []savorystep.RequestID
	for i, event := range events {
		x := scale.x(event.Timestamp.Wall)
		// Marks that would overlap are placed on different levels of the lane.
		if last, ok := lastX[event.Instance]; ok && x-last < 2*markRadius {
			level[event.Instance] = (level[event.Instance] + 1) % stackLevels
		} else {
			level[event.Instance] = 0
		}
		lastX[event.Instance] = x
		y := v.Lanes[lanes[event.Instance]].Y + stackOffset(level[event.Instance])
		row := rowView{
			Row: i + 1, Time: formatTimeOfDay(event.Timestamp.Wall), Instance: string(event.Instance), Kind: string(event.Kind), Text: event.Text,
			Service: string(event.Service), Region: string(event.Region), Request: string(event.Request), Color: kindColor(event.Kind),
		}
		v.Rows = append(v.Rows, row)
		v.Marks = append(v.Marks, markView{X: x, Y: y, Color: row.Color, Tooltip: tooltipText(row), Row: row.Row})
		if event.Request != "" {
			if requestPoints[event.Request] == nil {
				requests = append(requests, event.Request)
			}
			requestPoints[event.Request] = append(requestPoints[event.Request], fmt.Sprintf("%.1f,%d", x, y))
		}
	}
	for _, request := range requests {
		if points := requestPoints[request]; len(points) > 1 && len(v.RequestPaths) < maxPaths {
			v.RequestPaths = append(v.RequestPaths, strings.Join(points, " "))
		}
	}
}

// stackOffset returns the vertical offset of a level from the middle of the lane.
func stackOffset(level int) int {
	return [stackLevels]int{0, -stackStep, stackStep}[level]
}

// addLegend adds the legend, ordered by event kind.
func (v *timelineView) addLegend(events []savorystep.Event) {
	counts := map[savorystep.EventKind]int{}
	for _, event := range events {
		counts[event.Kind]++
	}
	for kind, count := range counts {
		v.Legend = append(v.Legend, legendView{Kind: kind, Color: kindColor(kind), Count: count})
	}
	slices.SortFunc(v.Legend, func(a, b legendView) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
}

func tooltipText(row rowView) string {
	lines := []string{row.Time + "  " + row.Kind, row.Text, row.Instance}
	for _, part := range []struct{ name, value string }{{"service", row.Service}, {"region", row.Region}, {"request", row.Request}} {
		if part.value != "" {
			lines = append(lines, part.name+" "+part.value)
		}
	}
	return strings.Join(lines, "\n")
}

func placeName(place savorystep.Place) string {
	if place.Zone == "" {
		return ""
	}
	return string(place.Region) + " / " + string(place.Zone)
}

// A timeScale maps wall clock times in nanoseconds since the Unix epoch to horizontal
// positions in pixels.
type timeScale struct {
	first, last int64
}

func newTimeScale(events []savorystep.Event) timeScale {
	s := timeScale{first: events[0].Timestamp.Wall, last: events[len(events)-1].Timestamp.Wall}
	if s.last == s.first {
		s.last++
	}
	return s
}

func (s timeScale) x(wall int64) float64 {
	const margin = 2 * markRadius
	fraction := float64(wall-s.first) / float64(s.last-s.first)
	return laneLeft + margin + fraction*(laneRight-laneLeft-2*margin)
}

func (s timeScale) ticks() []tickView {
	ticks := make([]tickView, 0, axisTicks+1)
	for i := range int64(axisTicks + 1) {
		wall := s.first + (s.last-s.first)/axisTicks*i
		ticks = append(ticks, tickView{X: s.x(wall), Label: formatTimeOfDay(wall)})
	}
	return ticks
}

// String returns the start, end and duration of the time span.
func (s timeScale) String() string {
	first, last := time.Unix(0, s.first).UTC(), time.Unix(0, s.last).UTC()
	return fmt.Sprintf("%s to %s UTC (%s)", first.Format("2006-01-02 15:04:05.000"), last.Format("15:04:05.000"), last.Sub(first).Round(time.Millisecond))
}

// formatTimeOfDay returns the UTC time of day of a wall clock time in nanoseconds since
// the Unix epoch.
func formatTimeOfDay(wall int64) string {
	return time.Unix(0, wall).UTC().Format("15:04:05.000")
}
