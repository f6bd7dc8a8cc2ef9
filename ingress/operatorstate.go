package ingress

import (
	"time"

	"savorystep"
	"savorystep/endpoint"
)

// restoredHold is how long a configuration and evacuations stay in force that a
// restored store lacks, not counting the time in which the store can't be read.
// Operators write again what it lacks within seconds; the store counts as stable 4 s
// after its return, and a change takes effect within 3 s of that.
const restoredHold = 10 * time.Second

// An operatorState applies the operators' configuration to a Router. After the store
// has come back from a copy, it keeps what the copy lacks until the operators have
// written it again, or until restoredHold has passed and the store's state counts.
type operatorState struct {
	// version is the catalog version up to which changes were applied.
	version savorystep.CatalogVersion
	// routingEra is the era of the routing in force.
	routingEra savorystep.StoreEra
	// holdUntil is when the state of the restored store counts, zero if nothing of an
	// earlier era is in force.
	holdUntil time.Time
	// eraReadAt is when the store was first read in its present era, later by the time
	// in which it could not be read since.
	eraReadAt time.Time
	// restoredRouting is the store's routing, which is older than the one in force,
	// nil if there is none.
	restoredRouting *savorystep.Routing
	// heldZones are evacuated although the restored store does not list them.
	heldZones map[savorystep.Zone]bool
}

// apply applies changes of the routing and of zone evacuations. sinceLastRead is the
// time since the configuration was last read, which bounds how long a change was
// pending.
func (s *operatorState) apply(now time.Time, router *Router, changes savorystep.OperatorChanges, sinceLastRead time.Duration) {
	isRestored := changes.Version.IsOfOtherEra(s.version)
	if isRestored || s.version == 0 {
		s.eraReadAt = now
	}
	s.version = changes.Version
	if isRestored {
		s.holdUntil = now.Add(restoredHold)
		log.Warningf("operators' configuration is of version %v, a restored store: what it lacks stays in force for %v", changes.Version, restoredHold)
	}
	if changes.Routing != nil {
		s.applyRouting(router, changes, sinceLastRead)
	}
	s.applyZones(now, router, changes, isRestored)
	if !s.holdUntil.IsZero() && !now.Before(s.holdUntil) {
		s.endHold(now, router)
	}
}

// applyRouting puts a routing in force unless it is older than the one in force.
// Revisions are compared within an era: an equal one of another era is put in force, an
// older one of another era when the hold ends.
func (s *operatorState) applyRouting(router *Router, changes savorystep.OperatorChanges, sinceLastRead time.Duration) {
	routing, current, era := changes.Routing, router.Routing(), changes.Version.Era()
	isOfOtherEra := current != nil && era != s.routingEra
	isAccepted := router.SetRouting(routing)
	if !isAccepted && isOfOtherEra && (routing.Revision == current.Revision || s.holdUntil.IsZero()) {
		router.RestoreRouting(routing)
		isAccepted = true
	}
	switch {
	case isAccepted:
		s.routingEra, s.restoredRouting = era, nil
		log.Infof("routing revision %d with %d routes at catalog version %v is in force, the read before ended %v ago", routing.Revision, len(routing.Routes), changes.Version, sinceLastRead.Round(time.Millisecond))
	case isOfOtherEra:
		s.restoredRouting = routing
		log.Warningf("routing revision %d at catalog version %v is older than revision %d in force, which stays until the operators write it again or the hold ends", routing.Revision, changes.Version, current.Revision)
	case routing.Revision < current.Revision:
		log.Warningf("routing revision %d at catalog version %v is older than revision %d in force, which stays", routing.Revision, changes.Version, current.Revision)
	}
}

// applyZones evacuates zones and ends evacuations.
func (s *operatorState) applyZones(now time.Time, router *Router, changes savorystep.OperatorChanges, isRestored bool) {
	router.WithTable(func(t *endpoint.Table) {
		ended := changes.RestoredZones
		if changes.Full {
			ended = nil
			for _, zone := range difference(t.EvacuatedZones(), changes.EvacuatedZones) {
				if isRestored || s.heldZones[zone] {
					s.holdZone(zone)
				} else {
					ended = append(ended, zone)
				}
			}
		}
		for _, zone := range changes.EvacuatedZones {
			delete(s.heldZones, zone)
			t.Evacuate(zone)
			log.Infof("zone %s is evacuated", zone)
		}
		for _, zone := range ended {
			delete(s.heldZones, zone)
			t.EndEvacuation(now, zone)
			log.Infof("zone %s gets requests again", zone)
		}
	})
}

// holdZone keeps a zone evacuated that the restored store does not list.
func (s *operatorState) holdZone(zone savorystep.Zone) {
	if s.heldZones == nil {
		s.heldZones = make(map[savorystep.Zone]bool)
	}
	s.heldZones[zone] = true
	log.Warningf("zone %s stays evacuated although the restored store does not list it", zone)
}

// extendHold extends the hold by a time in which the store could not be read, since
// nobody could write again what it lacks.
func (s *operatorState) extendHold(outage time.Duration) {
	s.eraReadAt = s.eraReadAt.Add(outage)
	if !s.holdUntil.IsZero() {
		s.holdUntil = s.holdUntil.Add(outage)
	}
}

// endHold puts the state of the restored store in force.
func (s *operatorState) endHold(now time.Time, router *Router) {
	s.holdUntil = time.Time{}
	if s.restoredRouting != nil {
		log.Warningf("routing revision %d of the restored store is in force, revision %d was not written again", s.restoredRouting.Revision, router.Routing().Revision)
		router.RestoreRouting(s.restoredRouting)
		s.routingEra, s.restoredRouting = s.version.Era(), nil
	}
	router.WithTable(func(t *endpoint.Table) {
		for zone := range s.heldZones {
			t.EndEvacuation(now, zone)
			log.Warningf("zone %s gets requests again, its evacuation was not written again in the restored store", zone)
		}
	})
	clear(s.heldZones)
}
