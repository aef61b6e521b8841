package balancer

import (
	"reflect"
	"testing"
	"time"
)

func testCodec() codec {
	return codec{plans: []Plan{{Name: "rate", Rate: 10}, {Name: "open", MaxConcurrent: 5}}, nodeCount: 30}
}

func testPiggyback() piggyback {
	return piggyback{
		pooled:    pooledMeans{-0.5, 0.25, 2, 0, 1},
		overQuota: []overQuotaReport{{7, 0, 0}, {65535, 1, 3 * time.Second}},
		loads: []peerLoad{
			{1, 100, peerLoadResponded, 20 * ms},
			{2, 3, peerLoadFailed, 40 * ms},
			{3, 0, peerLoadRefusesConnections, 4 * time.Second},
		},
	}
}

func TestGossipRoundTrip(t *testing.T) {
	codec := testCodec()
	want := gossipMessage{epoch: 9, sequence: 300}
	want.entries = []gossipEntry{
		{1, 0, entryNodes{29, 30}, -7, 0},
		{1 << 63, 1, entryNodes{0, 1}, 1e6, 12},
	}
	want.previous = []gossipEntry{{2, 1, entryNodes{3, 4}, 0, 1 << 20}}
	var batch, previous entryBatch
	for i := range want.entries {
		codec.appendEntry(&batch, &want.entries[i])
	}
	codec.appendEntry(&previous, &want.previous[0])
	message := encodeGossip(want.epoch, want.sequence, batch, previous)
	if got, ok := codec.decodeGossip(message); !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, want %+v", got, want)
	}
	checkMalformed(t, message, func(message []byte) bool {
		_, ok := codec.decodeGossip(message)
		return ok
	})
}

// Guards against messages that exceed the maximum size because they repeat the previous entries.
func TestGossipMessageSize(t *testing.T) {
	codec := testCodec()
	batch, previous := entryBatch{1, make([]byte, maxNewEntryBytes)}, entryBatch{1, make([]byte, 100)}
	if message := encodeGossip(1, 1, batch, previous); len(message) > maxMessageBytes {
		t.Errorf("message of %d bytes, want at most %d", len(message), maxMessageBytes)
	}
	var full entryBatch
	entry := gossipEntry{1<<64 - 1, 1, entryNodes{29, 30}, -maxWireUnits, maxWireInFlight}
	if codec.appendEntry(&full, &entry); len(full.encoded) > maxEntryBytes {
		t.Errorf("entry of %d bytes, want at most %d", len(full.encoded), maxEntryBytes)
	}
}

func TestPlanCodes(t *testing.T) {
	codec := testCodec()
	for plan := range codec.plans {
		for _, nodes := range []entryNodes{{0, 1}, {29, 30}, {4, 17}} {
			gotPlan, gotNodes, ok := codec.decodePlanCode(codec.planCode(plan, nodes))
			if !ok || gotPlan != plan || gotNodes != nodes {
				t.Errorf("decoded plan %d with %+v, known %v; want plan %d with %+v", gotPlan, gotNodes, ok, plan, nodes)
			}
		}
	}
	if _, _, ok := codec.decodePlanCode(codec.planCode(len(codec.plans), entryNodes{0, 1})); ok {
		t.Error("the code of an unknown plan was decoded")
	}
}

// checkMalformed checks that decode rejects every truncation of a message, and the message with an extra
// byte.
func checkMalformed(t *testing.T, message []byte, decode func([]byte) bool) {
	t.Helper()
	for size := 1; size < len(message); size++ {
		if decode(message[:size]) {
			t.Errorf("a message truncated to %d of %d bytes was decoded", size, len(message))
		}
	}
	if decode(append(append([]byte{}, message...), 0)) {
		t.Error("a message with an extra byte was decoded")
	}
}
