package main

import (
	"fmt"
	"os"
	"sync"
)

// Sizes of the deployment, as those of armor-devis today.
const (
	nodeCount   = 3
	serverCount = 12
)

// deployment is a small deployment: app servers, and edge nodes with an agent each.
type deployment struct {
	log     *record
	servers []*appServer
	nodes   []*node

	mu     sync.Mutex
	folder string
}

// start starts app servers that answer by serve, agents and edge nodes with settings changed by change, if that is
// not nil.
func (d *deployment) start(serve serveFunc, change func(map[string]any)) error {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return err
	}
	d.folder = folder
	for i := range serverCount {
		zone := settings()["localities"].([]string)[i%3]
		s, err := newAppServer(fmt.Sprintf("s-%02d", i), zone, d.log, serve)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	var agents []*agent
	for range nodeCount {
		a, err := newAgent(d.servers)
		if err != nil {
			return err
		}
		agents = append(agents, a)
	}
	nodes, err := newNodes(folder, agents, change, d.log)
	if err != nil {
		return err
	}
	for _, n := range nodes {
		d.mu.Lock()
		d.nodes = append(d.nodes, n)
		err := n.start()
		d.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// received returns the requests that have reached app servers whole, by id.
func (d *deployment) received() map[string][]*received {
	byID := map[string][]*received{}
	for _, s := range d.servers {
		for _, r := range s.all() {
			byID[r.id] = append(byID[r.id], r)
		}
	}
	return byID
}

// check returns an error if an edge node has ended that the platform has not killed.
func (d *deployment) check() error {
	for _, n := range d.nodes {
		if !n.running() && !n.killed {
			return fmt.Errorf("edge node %s has ended", n.name)
		}
	}
	return nil
}

// stop ends the edge nodes and removes their files.
func (d *deployment) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range d.nodes {
		n.stop()
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}
