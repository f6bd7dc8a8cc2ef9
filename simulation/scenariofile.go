package simulation

import (
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"savorystep"
)

// A scenarioFile is a scenario as it stands in a file. The words of the file are
// short and of one word each.
type scenarioFile struct {
	Fleet struct {
		Instances int `ini:"instances"`
		Regions   int `ini:"regions"`
	} `ini:"fleet"`
	Service struct {
		Cold      float64          `ini:"cold"`
		Endpoints int              `ini:"endpoints"`
		Excess    float64          `ini:"excess"`
		Keeps     int              `ini:"keeps"`
		Kept      float64          `ini:"kept"`
		Queue     float64          `ini:"queue"`
		Slack     float64          `ini:"slack"`
		Slots     savorystep.Slots `ini:"slots"`
		Work      time.Duration    `ini:"work"`
	} `ini:"service"`
	Repeats struct {
		Ratio  float64       `ini:"ratio"`
		Slack  float64       `ini:"slack"`
		Window time.Duration `ini:"window"`
	} `ini:"repeats"`
	Load struct {
		Deadline time.Duration `ini:"deadline"`
		Length   time.Duration `ini:"length"`
		Objects  int           `ini:"objects"`
		Period   time.Duration `ini:"period"`
		Rate     float64       `ini:"rate"`
		Swing    float64       `ini:"swing"`
		Target   time.Duration `ini:"target"`
	} `ini:"load"`
}

// An eventSection is an event as it stands in a file.
type eventSection struct {
	Start    time.Duration `ini:"at"`
	Duration time.Duration `ini:"for"`
	Kind     EventKind     `ini:"kind"`
	Share    float64       `ini:"share"`
	Factor   float64       `ini:"x"`
}

// eventPrefix begins the names of sections with events.
const eventPrefix = "event."

// ParseScenario reads a scenario. Errors have kind KindBadRequest and name the
// section or key.
func ParseScenario(name string, data []byte) (Scenario, error) {
	loaded, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		return Scenario{}, savorystep.WrapError(savorystep.KindBadRequest, err, "scenario %s", name)
	}
	var file scenarioFile
	if err := loaded.StrictMapTo(&file); err != nil {
		return Scenario{}, savorystep.WrapError(savorystep.KindBadRequest, err, "scenario %s", name)
	}
	scenario := file.scenario(name)
	for _, section := range loaded.Sections() {
		if !strings.HasPrefix(section.Name(), eventPrefix) {
			continue
		}
		var event eventSection
		if err := section.StrictMapTo(&event); err != nil {
			return Scenario{}, savorystep.WrapError(savorystep.KindBadRequest, err, "scenario %s, section %s", name, section.Name())
		}
		if !slices.Contains(EventKinds(), event.Kind) {
			return Scenario{}, savorystep.NewError(savorystep.KindBadRequest, "scenario %s, section %s: kind %q is unknown", name, section.Name(), event.Kind)
		}
		scenario.Events = append(scenario.Events, Event(event))
	}
	return scenario, scenario.check()
}

// scenario returns the scenario of a file without its events.
func (f *scenarioFile) scenario(name string) Scenario {
	return Scenario{
		Name: name, Duration: f.Load.Length, Regions: f.Fleet.Regions, Instances: f.Fleet.Instances,
		Endpoints: f.Service.Endpoints, Slots: f.Service.Slots, QueuePerSlot: f.Service.Queue, CacheSize: f.Service.Keeps,
		MeanWork: f.Service.Work, CachedWorkShare: f.Service.Kept,
		Rate: f.Load.Rate, RateSwing: f.Load.Swing, SwingPeriod: f.Load.Period, Objects: f.Load.Objects,
		TargetLatency: f.Load.Target, Deadline: f.Load.Deadline,
		Limits: Limits{
			ColdRate: f.Service.Cold, ColdFactor: f.Service.Excess, ColdSlack: f.Service.Slack,
			RetryRatio: f.Repeats.Ratio, RetrySlack: f.Repeats.Slack, RetryWindow: f.Repeats.Window,
		},
	}
}

// check reports the first value that no run can use. A time without a unit is
// read as nanoseconds, which no scenario means.
func (s *Scenario) check() error {
	for _, c := range []struct {
		key string
		ok  bool
	}{
		{key: "fleet.instances", ok: s.Instances > 0},
		{key: "fleet.regions", ok: s.Regions > 0},
		{key: "load.deadline", ok: s.Deadline >= time.Millisecond},
		{key: "load.length", ok: s.Duration >= time.Millisecond},
		{key: "load.objects", ok: s.Objects > 0},
		{key: "load.period", ok: s.SwingPeriod >= time.Millisecond},
		{key: "load.rate", ok: s.Rate > 0},
		{key: "load.swing", ok: s.RateSwing >= 0 && s.RateSwing < 1},
		{key: "load.target", ok: s.TargetLatency >= time.Millisecond},
		{key: "repeats.window", ok: s.Limits.RetryWindow >= time.Millisecond},
		{key: "service.endpoints", ok: s.Endpoints > 0},
		{key: "service.slots", ok: s.Slots > 0},
		{key: "service.work", ok: s.MeanWork >= time.Millisecond},
	} {
		if !c.ok {
			return savorystep.NewError(savorystep.KindBadRequest, "scenario %s: %s is missing or out of range", s.Name, c.key)
		}
	}
	return nil
}
