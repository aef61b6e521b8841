package balancer_test

import (
	"fmt"
	"time"

	"opalhook/balancer"
)

// printer is a host that only prints what it is asked to do.
type printer struct{}

func (printer) Send(id, server string, timeout, by time.Duration) {
	fmt.Println("send", id, "to", server)
}
func (printer) Refuse(id string, retryAfter time.Duration) { fmt.Println("refuse", id) }
func (printer) Fail(id string)                             { fmt.Println("fail", id) }
func (printer) Cancel(id string, attempt int)              { fmt.Println("cancel", id, attempt) }
func (printer) SetTimer(token uint64, after time.Duration) {}
func (printer) Probe(server string)                        {}
func (printer) Tell(peer int, message []byte)              {}
func (printer) Watch(on bool)                              {}
func (printer) Log(text string)                            { fmt.Println(text) }

func Example() {
	settings := balancer.Settings{
		Instances: 1,
		Classes:   []balancer.Class{{Name: "read", Effect: balancer.Safe, Aim: time.Second, Deadline: 2 * time.Second, Worth: 1}},
		Plans:     []balancer.Plan{{Name: "basic", Rate: 1, Burst: 2, Price: 1}},
	}
	g, err := balancer.New(settings, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	var host printer
	now := time.Duration(0)
	g.Start(now, host)
	g.List(now, balancer.ListFull, []balancer.Server{{ID: "alpha"}}, host)
	for _, id := range []string{"r1", "r2", "r3"} {
		g.Request(now, balancer.Request{ID: id, Class: "read", Plan: "basic", Customer: 7,
			Grace: time.Second, Units: 1, Spread: 1}, host)
	}
	g.Outcome(now, balancer.Outcome{ID: "r1", Result: balancer.OK, Closed: true, Took: 20 * time.Millisecond}, host)
	// Output:
	// send r1 to alpha
	// send r2 to alpha
	// refuse r3
}
