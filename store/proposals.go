package store

import (
	"sync"

	"savorystep"
)

// proposals are the changes that this instance has sent to the table and that it does not
// know to be accepted. An accepted change can come into force through a poll or a peer
// before the table's answer arrives, or without one.
type proposals struct {
	mu  sync.Mutex
	ids map[savorystep.ChangeID]bool
}

func newProposals() *proposals {
	return &proposals{ids: make(map[savorystep.ChangeID]bool)}
}

// add adds a change before it is sent.
func (p *proposals) add(id savorystep.ChangeID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids[id] = true
}

// remove removes a change and reports whether it was there.
func (p *proposals) remove(id savorystep.ChangeID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.ids[id]
	delete(p.ids, id)
	return found
}
