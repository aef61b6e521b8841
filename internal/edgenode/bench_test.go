package edgenode

import (
	"fmt"
	"testing"

	"opalhook/internal/edgenode/nodetest"
)

// BenchmarkRequest is one request through the node and back, with the client and the
// app server in the same process.
func BenchmarkRequest(b *testing.B) {
	s := nodetest.NewAppServer(b, nodetest.Say(nodetest.OKResponse))
	n := run(b, testConfig(s.Endpoint("a")))
	c := nodetest.Dial(b, n.addr)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if a := c.Ask(request("book", fmt.Sprint("t", i))); a.Status != 200 {
			b.Fatalf("status %d", a.Status)
		}
	}
}
