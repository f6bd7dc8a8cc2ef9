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

// Measures of the drawing in pixels.
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
	// maxPaths bounds the requests whose events are connected; more lines hide
	// the marks.
	maxPaths = 100
)

// kindColors are the colours of event kinds, told apart in light and dark.
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

// otherColor is the colour of kinds without one of their own.
const otherColor = "#868e96"

// EventKinds returns the known kinds of events in alphabetical order.
func EventKinds() []savorystep.EventKind {
	return slices.Sorted(maps.Keys(kindColors))
}

func kindColor(kind savorystep.EventKind) string {
	if color, ok := kindColors[kind]; ok {
		return color
	}
	return otherColor
}

// A timelineView is what the page shows.
type timelineView struct {
	Title         string
	Span          string
	Missing       []MissingInstance
	Instances     int
	Width, Height int
	Left, Right   int
	Top, Bottom   int
	Lanes         []laneView
	Ticks         []tickView
	Paths         []string
	Marks         []markView
	Legend        []legendView
	Rows          []rowView
}

type laneView struct {
	Label, Place string
	Y, TextY     int
	Shaded       bool
	Top, Height  int
}

type tickView struct {
	X     float64
	Label string
}

type markView struct {
	X     float64
	Y     int
	Color string
	Hover string
	Row   int
}

type legendView struct {
	Kind  savorystep.EventKind
	Color string
	Count int
}

type rowView struct {
	Row                              int
	Time, Instance, Kind, Text       string
	Service, Region, Request, Colour string
}

// WriteHTML writes the timeline as one page that needs no other file.
func (t *Timeline) WriteHTML(w io.Writer, title string) error {
	return timelineTemplate.Execute(w, t.view(title))
}

func (t *Timeline) view(title string) timelineView {
	v := timelineView{Title: title, Missing: t.Missing, Instances: len(t.Instances), Width: drawWidth, Left: laneLeft, Right: laneRight, Top: axisHeight}
	lanes := map[savorystep.InstanceID]int{}
	for i, instance := range t.lanes() {
		top := axisHeight + i*laneHeight
		lanes[instance.ID] = i
		v.Lanes = append(v.Lanes, laneView{
			Label: string(instance.ID), Place: placeName(instance.Place), Y: top + laneHeight/2, TextY: top + laneHeight/2 + 4,
			Top: top, Height: laneHeight, Shaded: i%2 == 1,
		})
	}
	v.Bottom = axisHeight + len(v.Lanes)*laneHeight
	v.Height = v.Bottom + markRadius
	if len(t.Events) == 0 {
		return v
	}
	scale := newTimeScale(t.Events)
	v.Span = scale.String()
	v.Ticks = scale.ticks()
	v.addMarks(t.Events, lanes, scale)
	v.addLegend(t.Events)
	return v
}

// lanes returns the instances that answered and those that only events name.
func (t *Timeline) lanes() []savorystep.Instance {
	list := slices.Clone(t.Instances)
	known := map[savorystep.InstanceID]bool{}
	for _, instance := range list {
		known[instance.ID] = true
	}
	for _, event := range t.Events {
		if !known[event.Instance] {
			known[event.Instance] = true
			list = append(list, savorystep.Instance{ID: event.Instance})
		}
	}
	return list
}

func (v *timelineView) addMarks(events []savorystep.Event, lanes map[savorystep.InstanceID]int, scale timeScale) {
	lastX, level := map[savorystep.InstanceID]float64{}, map[savorystep.InstanceID]int{}
	paths := map[savorystep.RequestID][]string{}
	var requests []savorystep.RequestID
	for i, event := range events {
		x := scale.x(event.Timestamp.Wall)
		// Marks that would cover each other are set one above the other.
		if last, ok := lastX[event.Instance]; ok && x-last < 2*markRadius {
			level[event.Instance] = (level[event.Instance] + 1) % stackLevels
		} else {
			level[event.Instance] = 0
		}
		lastX[event.Instance] = x
		y := v.Lanes[lanes[event.Instance]].Y + stackOffset(level[event.Instance])
		row := rowView{
			Row: i + 1, Time: formatWall(event.Timestamp.Wall), Instance: string(event.Instance), Kind: string(event.Kind), Text: event.Text,
			Service: string(event.Service), Region: string(event.Region), Request: string(event.Request), Colour: kindColor(event.Kind),
		}
		v.Rows = append(v.Rows, row)
		v.Marks = append(v.Marks, markView{X: x, Y: y, Color: row.Colour, Hover: hoverText(row), Row: row.Row})
		if event.Request != "" {
			if paths[event.Request] == nil {
				requests = append(requests, event.Request)
			}
			paths[event.Request] = append(paths[event.Request], fmt.Sprintf("%.1f,%d", x, y))
		}
	}
	for _, request := range requests {
		if points := paths[request]; len(points) > 1 && len(v.Paths) < maxPaths {
			v.Paths = append(v.Paths, strings.Join(points, " "))
		}
	}
}

// stackOffset puts the levels of a lane around its middle.
func stackOffset(level int) int {
	return [stackLevels]int{0, -stackStep, stackStep}[level]
}

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

func hoverText(row rowView) string {
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

// A timeScale maps wall times to positions.
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
	part := float64(wall-s.first) / float64(s.last-s.first)
	return laneLeft + margin + part*(laneRight-laneLeft-2*margin)
}

func (s timeScale) ticks() []tickView {
	ticks := make([]tickView, 0, axisTicks+1)
	for i := range int64(axisTicks + 1) {
		wall := s.first + (s.last-s.first)/axisTicks*i
		ticks = append(ticks, tickView{X: s.x(wall), Label: formatWall(wall)})
	}
	return ticks
}

// String returns the span of time that the scale covers.
func (s timeScale) String() string {
	first, last := time.Unix(0, s.first).UTC(), time.Unix(0, s.last).UTC()
	return fmt.Sprintf("%s to %s UTC (%s)", first.Format("2006-01-02 15:04:05.000"), last.Format("15:04:05.000"), last.Sub(first).Round(time.Millisecond))
}

// formatWall returns the UTC time of day of a stamp's wall part.
func formatWall(wall int64) string {
	return time.Unix(0, wall).UTC().Format("15:04:05.000")
}
