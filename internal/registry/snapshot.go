package registry

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// snapshotFormat is the version of the encoding of a state. Other versions are rejected.
const snapshotFormat = 1

// stateSnapshot is the serialized form of a state in snapshots, backups and Load commands.
type stateSnapshot struct {
	Format     int         `json:"format"`
	Epoch      uint64      `json:"epoch"`
	Count      uint64      `json:"count"`
	Records    []record    `json:"records"`
	Tombstones []tombstone `json:"gone"`
	Changes    []Change    `json:"changes"`
}

// snapshot copies the state, so that the copy can be encoded while the state changes. The entries of changes
// are shared with the state, which never modifies them.
func (s *State) snapshot() stateSnapshot {
	records := make([]record, 0, len(s.records))
	for _, r := range s.records {
		records = append(records, *r)
	}
	return stateSnapshot{
		Format:     snapshotFormat,
		Epoch:      s.epoch,
		Count:      s.changeCount,
		Records:    records,
		Tombstones: slices.Clone(s.tombstoneOrder),
		Changes:    slices.Clone(s.changes),
	}
}

// encode returns the snapshot as JSON. The result depends only on the content, since encode sorts the
// records.
func (snap stateSnapshot) encode() ([]byte, error) {
	slices.SortFunc(snap.Records, func(a, b record) int { return cmp.Compare(a.Entry.ID, b.Entry.ID) })
	return json.Marshal(snap)
}

// state returns the state that the snapshot was taken of, or an error that names the invalid field.
func (snap stateSnapshot) state() (*State, error) {
	switch {
	case snap.Format != snapshotFormat:
		return nil, fmt.Errorf("state: format %d is not supported, must be %d", snap.Format, snapshotFormat)
	case snap.Epoch > MaxEpoch || snap.Count >= 1<<epochBits:
		return nil, fmt.Errorf("state: got epoch %d and count %d, must be at most %d and %d",
			snap.Epoch, snap.Count, MaxEpoch, uint64(1)<<epochBits-1)
	}
	s := NewState(snap.Epoch)
	s.changeCount, s.tombstoneOrder, s.changes = snap.Count, snap.Tombstones, snap.Changes
	for i := range snap.Records {
		r := snap.Records[i]
		id, addr := r.Entry.ID, r.Entry.Addr
		if s.records[id] != nil || s.instanceByAddr[addr] != "" {
			return nil, fmt.Errorf("state: records[%d]: instance %s or its address occurs twice", i, id)
		}
		s.records[id], s.instanceByAddr[addr] = &r, id
	}
	for _, t := range snap.Tombstones {
		s.tombstones[t.ID] = max(s.tombstones[t.ID], t.Incarnation)
	}
	return s, nil
}

// MarshalJSON implements json.Marshaler. The result depends only on the state.
func (s *State) MarshalJSON() ([]byte, error) { return s.snapshot().encode() }

// UnmarshalJSON implements json.Unmarshaler for the output of MarshalJSON. After an error the state is
// unchanged.
func (s *State) UnmarshalJSON(text []byte) error {
	var snap stateSnapshot
	if err := json.Unmarshal(text, &snap); err != nil {
		return fmt.Errorf("state: %w", err)
	}
	decoded, err := snap.state()
	if err != nil {
		return err
	}
	*s = *decoded
	return nil
}

// RestoredInEpoch returns a copy of the state in a new epoch, for a list that is restored from a backup. The
// epoch must be larger than any that the list has been in. RestoredInEpoch knows only the epoch of the
// backup, and returns an error if the new epoch is not larger than that or exceeds MaxEpoch.
func (s *State) RestoredInEpoch(epoch uint64) (*State, error) {
	if epoch <= s.epoch || epoch > MaxEpoch {
		return nil, fmt.Errorf("epoch: got %d, must be above the backup's epoch %d and at most %d", epoch, s.epoch, MaxEpoch)
	}
	text, err := s.MarshalJSON()
	if err != nil {
		return nil, err
	}
	var restored State
	if err := restored.UnmarshalJSON(text); err != nil {
		return nil, err
	}
	restored.epoch, restored.changes = epoch, nil
	restored.changeCount = 1 // the restore itself
	return &restored, nil
}
