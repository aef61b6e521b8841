package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkSplitter splits a stream with a complete list of 1,024 entries, in one piece and in pieces of 48
// bytes.
func BenchmarkSplitter(b *testing.B) {
	m := Message{Generation: 9, Snapshot: true}
	for i := range 1024 {
		m.Entries = append(m.Entries, Entry{ID: fmt.Sprintf("s-%08x", i), Addr: "127.0.0.1:8080", Zone: "a", Lifecycle: Up, Weight: 1})
	}
	text, err := json.Marshal(m)
	if err != nil {
		b.Fatal(err)
	}
	for _, piece := range []int{len(text), 48} {
		b.Run(fmt.Sprint("piece=", piece), func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			b.ReportAllocs()
			for b.Loop() {
				var s Splitter
				messages := 0
				for rest := text; len(rest) > 0; rest = rest[min(piece, len(rest)):] {
					if err := s.Feed(rest[:min(piece, len(rest))], func(got []byte) {
						if messages++; !bytes.Equal(got, text) {
							b.Fatal("the message differs from the input")
						}
					}, func() {}); err != nil {
						b.Fatal(err)
					}
				}
				if messages != 1 {
					b.Fatalf("%d messages, want 1", messages)
				}
			}
		})
	}
}
