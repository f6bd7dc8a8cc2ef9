package store

import (
	"cmp"
	"encoding/json"
	"slices"

	"savorystep"
)

// A GrantNonce names one write of one instance to a budget's row. A holder
// that finds its nonce in the row knows that the write took effect.
type GrantNonce string

// A GrantSlot is a floor slot that an instance holds. It needs no renewal.
type FloorSlot struct {
	// Index is the number of the slot, from 0.
	Index int `json:"index"`
	// Units is how many units of the budget the slot carries.
	Units savorystep.Slots `json:"units"`
}

// A GrantHolder is the entry of one instance in a budget's row. Only the
// instance itself changes its entry, but for units that lapsed and slots of an
// ended instance.
type GrantHolder struct {
	ID savorystep.InstanceID `json:"id"`
	// Nonce is empty once another instance has reclaimed the grant.
	Nonce GrantNonce `json:"nonce,omitempty"`
	// Limit is the budget's cap in the configuration in force at the holder.
	Cap savorystep.Slots `json:"limit"`
	// Want is how many units the holder could use, floor included.
	Wanted savorystep.Slots `json:"want,omitempty"`
	// Units is the grant. It expires unless the holder renews it.
	Units savorystep.Slots `json:"units,omitempty"`
	// Slots are the floor slots of the holder in order of their indexes.
	Slots []FloorSlot `json:"slots,omitempty"`
}

// Floor returns the units of the holder's floor slots.
func (h *GrantHolder) FloorUnits() savorystep.Slots {
	var sum savorystep.Slots
	for _, slot := range h.Slots {
		sum += slot.Units
	}
	return sum
}

// Total returns the units of the grant and the floor slots.
func (h *GrantHolder) TotalUnits() savorystep.Slots {
	return h.Units + h.FloorUnits()
}

// isEmpty reports whether the entry says nothing.
func (h *GrantHolder) isEmpty() bool {
	return h.Units == 0 && h.Wanted == 0 && len(h.Slots) == 0
}

// A GrantRow is the content of the table row of a budget. An empty row is
// never deleted, so that its version never returns to 0 and a late write
// conditioned on version 0 can't take effect on a row that was in use.
type GrantRow struct {
	// Cap is the cap that the last writer went by.
	Cap savorystep.Slots `json:"cap"`
	// Holders are sorted by ID.
	Holders []GrantHolder `json:"holders,omitempty"`
}

// Holder returns the entry of an instance, or an empty entry.
func (r *GrantRow) Holder(id savorystep.InstanceID) GrantHolder {
	for i := range r.Holders {
		if r.Holders[i].ID == id {
			return r.Holders[i]
		}
	}
	return GrantHolder{ID: id}
}

// Total returns the units that are given out.
func (r *GrantRow) TotalUnits() savorystep.Slots {
	var sum savorystep.Slots
	for i := range r.Holders {
		sum += r.Holders[i].TotalUnits()
	}
	return sum
}

// set replaces the entry of an instance and keeps the order. An empty entry is
// removed.
func (r *GrantRow) set(holder GrantHolder) {
	index, found := slices.BinarySearchFunc(r.Holders, holder.ID, func(h GrantHolder, id savorystep.InstanceID) int {
		return cmp.Compare(h.ID, id)
	})
	switch {
	case holder.isEmpty() && found:
		r.Holders = slices.Delete(r.Holders, index, index+1)
	case holder.isEmpty():
	case found:
		r.Holders[index] = holder
	default:
		r.Holders = slices.Insert(r.Holders, index, holder)
	}
}

// clone returns a copy whose list of holders can be changed.
func (r *GrantRow) clone() GrantRow {
	return GrantRow{Cap: r.Cap, Holders: slices.Clone(r.Holders)}
}

// encode returns the row's value in the table.
func (r *GrantRow) encode() ([]byte, error) {
	return json.Marshal(r)
}

// decodeGrantRow parses a row's value. A row that does not exist is empty.
func decodeGrantRow(row savorystep.Row) (GrantRow, error) {
	var decoded GrantRow
	if row.Version == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return decoded, savorystep.WrapError(savorystep.KindInternal, err, "row %s is not a budget", row.Key)
	}
	slices.SortFunc(decoded.Holders, func(a, b GrantHolder) int { return cmp.Compare(a.ID, b.ID) })
	return decoded, nil
}

// budgetRowKey returns the key of a budget's row.
func budgetRowKey(name savorystep.BudgetName) savorystep.RowKey {
	return savorystep.RowKey("budget/" + string(name))
}
