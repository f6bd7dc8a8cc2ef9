// Package peer connects the instances of savorystep with each other. Each pair
// of communicating instances shares one WebSocket that carries CBOR frames.
// The package exchanges facts, keeps the membership, fetches changes of the
// configuration, and stamps events with a hybrid logical clock.
//
// The mechanism is described in docs/decisions/gossip.md.
package peer
