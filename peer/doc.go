// Package peer connects the instances of savorystep with each other. A pair of
// communicating instances shares one WebSocket connection that carries CBOR
// frames. Over these connections the package gossips facts, maintains the
// membership, fetches configuration changes, and timestamps events with a
// hybrid logical clock. Over HTTP requests between instances it fetches the
// catalog and the endpoint list.
//
// The protocol is described in docs/decisions/gossip.md.
package peer
