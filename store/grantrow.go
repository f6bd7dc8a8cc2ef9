package store

import (
	"cmp"
	"encoding/json"
	"slices"

	"savorystep"
)

// A GrantNonce identifies one write of one instance to a budget's row. A holder
// that finds its nonce in the row knows that the write took effect.
type GrantNonce string

// A FloorSlot is one of the fixed shares of a budget's floor, the quarter of
// the cap that instances may use without renewal, even while the table is
// unavailable.
type FloorSlot struct {
	// Index is the number of the slot, from 0.
	Index int `json:"index"`
	// Units is the number of the budget's units that belong to the slot.
	Units savorystep.Slots `json:"units"`
}

// A GrantHolder is the entry of one instance in a budget's row. Other instances
// change it only to reclaim an expired grant or the floor slots of an ended
// instance.
type GrantHolder struct {
	ID savorystep.InstanceID `json:"id"`
	// Nonce is that of the holder's last write, or empty once another instance
	// has reclaimed the grant.
	Nonce GrantNonce `json:"nonce,omitempty"`
	// Cap is the budget's cap in the configuration in force at the holder.
	Cap savorystep.Slots `json:"limit"`
	// Wanted is the number of units that the holder could use, including its
	// floor.
	Wanted savorystep.Slots `json:"want,omitempty"`
	// Units is the size of the grant, without the floor. The grant expires
	// unless the holder renews it.
	Units savorystep.Slots `json:"units,omitempty"`
	// Slots are the floor slots of the holder, sorted by index.
	Slots []FloorSlot `json:"slots,omitempty"`
}

// FloorUnits returns the sum of the units of the holder's floor slots.
func (h *GrantHolder) FloorUnits() savorystep.Slots {
	var sum savorystep.Slots
	for _, slot := range h.Slots {
		sum += slot.Units
	}
	return sum
}

// TotalUnits returns the units of the grant plus those of the floor slots.
func (h *GrantHolder) TotalUnits() savorystep.Slots {
	return h.Units + h.FloorUnits()
}

// isEmpty reports whether the entry reserves nothing and records no demand.
func (h *GrantHolder) isEmpty() bool {
	return h.Units == 0 && h.Wanted == 0 && len(h.Slots) == 0
}

// A GrantRow is the content of a budget's row in the table. A row without
// holders is never deleted: its version would return to 0, and a late write
// conditioned on version 0 could take effect on a row that was in use.
type GrantRow struct {
	// Cap is the cap that applied at the last writer.
	Cap savorystep.Slots `json:"cap"`
	// Holders is sorted by ID.
	Holders []GrantHolder `json:"holders,omitempty"`
}

// Holder returns the entry of an instance, or an empty entry if there is none.
func (r *GrantRow) Holder(id savorystep.InstanceID) GrantHolder {
	for i := range r.Holders {
		if r.Holders[i].ID == id {
			return r.Holders[i]
		}
	}
	return GrantHolder{ID: id}
}

// TotalUnits returns the sum of the units of all holders.
func (r *GrantRow) TotalUnits() savorystep.Slots {
	var sum savorystep.Slots
	for i := range r.Holders {
		sum += r.Holders[i].TotalUnits()
	}
	return sum
}

// set inserts or replaces the entry of an instance, in sorted order. It removes
// the entry if the new one is empty.
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

// clone returns a copy with its own slice of holders.
func (r *GrantRow) clone() GrantRow {
	return GrantRow{Cap: r.Cap, Holders: slices.Clone(r.Holders)}
}

// encode returns the value of the row in the table.
func (r *GrantRow) encode() ([]byte, error) {
	return json.Marshal(r)
}

// decodeGrantRow decodes the value of a row. A missing row has no holders.
func decodeGrantRow(row savorystep.Row) (GrantRow, error) {
	var decoded GrantRow
	if row.Version == 0 {
		return decoded, nil
	}
	if err := json.Unmarshal(row.Value, &decoded); err != nil {
		return decoded, savorystep.WrapError(savorystep.KindInternal, err, "decode budget row %s", row.Key)
	}
	slices.SortFunc(decoded.Holders, func(a, b GrantHolder) int { return cmp.Compare(a.ID, b.ID) })
	return decoded, nil
}

// budgetRowKey returns the key of a budget's row in the table.
func budgetRowKey(name savorystep.BudgetName) savorystep.RowKey {
	return savorystep.RowKey("budget/" + string(name))
}
