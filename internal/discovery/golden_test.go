package discovery

import (
	"encoding/json"
	"reflect"
	"testing"

	"opalhook/internal/golden"
)

// The JSON form of messages matches the golden files and decodes to the same messages.
func TestGoldenMessages(t *testing.T) {
	up := Entry{ID: "s-a", Addr: "127.0.0.1:9001", Zone: "a", MachineType: "std-4c", Cell: 3, Lifecycle: Up, Weight: 0.25, StartedAtMs: 1700000000123}
	for _, c := range []struct {
		name string
		m    Message
	}{
		{"whole", Message{Generation: 7<<EpochBits | 2, Snapshot: true, Entries: []Entry{up, {ID: "s-b", Addr: "[::1]:9002", Lifecycle: Draining, Weight: 1e6}}}},
		{"changes", Message{Generation: 1<<53 - 1, Entries: []Entry{{ID: "s-c", Addr: "127.0.0.1:9003", Lifecycle: Removed, Cell: 1 << 30, StartedAtMs: 1 << 52}}}},
		{"empty", Message{Generation: 1, Snapshot: true, Entries: []Entry{}}},
		{"zero", Message{}},
	} {
		text, err := json.Marshal(c.m)
		if err != nil {
			t.Fatal(err)
		}
		var read Message
		if err := json.Unmarshal(golden.Check(t, "golden/"+c.name+".json", text), &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, c.m) {
			t.Errorf("%s is decoded as %+v, want %+v", c.name, read, c.m)
		}
	}
	if epoch := Epoch(7<<EpochBits | 2); epoch != 7 {
		t.Errorf("epoch %d, want 7", epoch)
	}
}
