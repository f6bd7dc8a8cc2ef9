package simulation

import (
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"savorystep"
)

// A scenarioFile holds the sections of a scenario file, events excepted. Each key is
// a single word.
type scenarioFile struct {
	Fleet struct {
		Instances int `ini:"instances"`
		Regions   int `ini:"regions"`
	} `ini:"fleet"`
	Service struct {
		ColdRate        float64          `ini:"cold"`
		Endpoints       int              `ini:"endpoints"`
		ColdFactor      float64          `ini:"excess"`
		CacheSize       int              `ini:"keeps"`
		CachedWorkShare float64          `ini:"kept"`
		QueuePerSlot    float64          `ini:"queue"`
		ColdSlack       float64          `ini:"slack"`
		Slots           savorystep.Slots `ini:"slots"`
		MeanWork        time.Duration    `ini:"work"`
	} `ini:"service"`
	Retries struct {
		Ratio  float64       `ini:"ratio"`
		Slack  float64       `ini:"slack"`
		Window time.Duration `ini:"window"`
	} `ini:"repeats"`
	Load struct {
		Deadline      time.Duration `ini:"deadline"`
		Duration      time.Duration `ini:"length"`
		Objects       int           `ini:"objects"`
		SwingPeriod   time.Duration `ini:"period"`
		Rate          float64       `ini:"rate"`
		RateSwing     float64       `ini:"swing"`
		TargetLatency time.Duration `ini:"target"`
	} `ini:"load"`
}

// An eventSection is the section of an event in a scenario file.
type eventSection struct {
	Start    time.Duration `ini:"at"`
	Duration time.Duration `ini:"for"`
	Kind     EventKind     `ini:"kind"`
	Share    float64       `ini:"share"`
	Factor   float64       `ini:"x"`
}

// eventPrefix is the prefix of the names of event sections.
const eventPrefix = "event."

// ParseScenario parses a scenario file. Errors have the kind KindBadRequest and name
// the section or key.
func ParseScenario(name string, data []byte) (Scenario, error) {
	loaded, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true, KeyValueDelimiters: "="}, data)
	if err != nil {
		return Scenario{}, savorystep.WrapError(savorystep.KindBadRequest, err, "parse scenario %s", name)
	}
	var file scenarioFile
	if err := loaded.StrictMapTo(&file); err != nil {
		return Scenario{}, savorystep.WrapError(savorystep.KindBadRequest, err, "parse scenario %s", name)
	}
	scenario := file.scenario(name)
	for _, section := range loaded.Sections() {
		if !strings.HasPrefix(section.Name(), eventPrefix) {
			continue
		}
		var event eventSection
		if err := section.StrictMapTo(&event); err != nil {
			return Scenario{}, savorystep.WrapError(savorystep.KindBadRequest, err, "parse scenario %s, section %s", name, section.Name())
		}
		if !slices.Contains(EventKinds(), event.Kind) {
			return Scenario{}, savorystep.NewError(savorystep.KindBadRequest, "parse scenario %s, section %s: unknown event kind %q", name, section.Name(), event.Kind)
		}
		scenario.Events = append(scenario.Events, Event(event))
	}
	return scenario, scenario.validate()
}

// scenario returns the scenario of the file without its events.
func (f *scenarioFile) scenario(name string) Scenario {
	return Scenario{
		Name: name, Duration: f.Load.Duration, Regions: f.Fleet.Regions, Instances: f.Fleet.Instances,
		Endpoints: f.Service.Endpoints, Slots: f.Service.Slots, QueuePerSlot: f.Service.QueuePerSlot, CacheSize: f.Service.CacheSize,
		MeanWork: f.Service.MeanWork, CachedWorkShare: f.Service.CachedWorkShare,
		Rate: f.Load.Rate, RateSwing: f.Load.RateSwing, SwingPeriod: f.Load.SwingPeriod, Objects: f.Load.Objects,
		TargetLatency: f.Load.TargetLatency, Deadline: f.Load.Deadline,
		Limits: Limits{
			ColdRate: f.Service.ColdRate, ColdFactor: f.Service.ColdFactor, ColdSlack: f.Service.ColdSlack,
			RetryRatio: f.Retries.Ratio, RetrySlack: f.Retries.Slack, RetryWindow: f.Retries.Window,
		},
	}
}

// validate returns an error for the first value that is missing or out of range. The
// minimum of 1 ms rejects times without a unit, which are parsed as nanoseconds.
func (s *Scenario) validate() error {
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
			return savorystep.NewError(savorystep.KindBadRequest, "parse scenario %s: %s is missing or out of range", s.Name, c.key)
		}
	}
	return nil
}
