package edgenode

import (
	"fmt"
	"testing"

	"opalhook/internal/edgenode/nodetest"
)

// BenchmarkRequest measures one request through the node and its response. Client, node and app server run in
// the same process.
func BenchmarkRequest(b *testing.B) {
	s := nodetest.NewAppServer(b, nodetest.Respond(nodetest.OKResponse))
	n := run(b, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(b, n.addr)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if a := c.Do(request("book", fmt.Sprint("t", i))); a.Status != 200 {
			b.Fatalf("status %d, want 200", a.Status)
		}
	}
}
