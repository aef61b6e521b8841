package scale

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of the measurement of renewals.
const (
	renewClients             = 32     // number of clients; each has its own thread and one connection at a time
	maxKeepAliveRenewals     = 30_000 // maximum number of renewals over persistent connections
	maxSingleRenewals        = 6_000  // maximum number of renewals with a new connection for each
	renewalsPerLeaseDuration = 3      // planned renewals of a lease in the time of its duration
	plannedLeaseSeconds      = 10     // planned lease duration, in seconds
	rusageThread             = 1      // RUSAGE_THREAD of getrusage(2): the calling thread
)

// listRenewalsPart returns the part that measures the CPU time that the service spends on lease renewals.
func listRenewalsPart() Part {
	return Part{
		Name: "list-renewals",
		Title: "Lease renewals over loopback: CPU time of the replicas, without that of the clients, per renewal and per second of the " +
			"planned renewals, in which each lease is renewed three times in 10 s. With three replicas it is the sum of all three.",
		Size:      "leases",
		Sizes:     listSizes,
		TestSizes: []int{100},
		Memory:    func(size int) uint64 { return listMemory(serviceReplicas, size) },
		Measure:   measureInSteps("list-renewals", 4, measureRenewals),
	}
}

func measureRenewals(steps *listSteps, rows *listRows) (err error) {
	leader, err := steps.restore(rows.size, listLease, defaultElectionTimeout)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, leader.close()) }()
	if err := measureRenewalModes(steps, rows, leader.Addr(), "one replica"); err != nil {
		return err
	}
	if err := steps.next("adding replicas"); err != nil {
		return err
	}
	start := time.Now()
	followers, err := joinReplicas(steps.ctx, leader)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeReplicas(followers)) }()
	rows.time("two replicas join, until they have the list", time.Since(start))
	if err := awaitCondition(steps.ctx, "the first replica to become the leader", leader.IsLeader); err != nil {
		return err
	}
	return measureRenewalModes(steps, rows, leader.Addr(), "three replicas")
}

// measureRenewalModes measures renewals over persistent connections, and with a new connection for each.
func measureRenewalModes(steps *listSteps, rows *listRows, addr, service string) error {
	if err := steps.next("renewing leases, " + service); err != nil {
		return err
	}
	for _, mode := range []struct {
		name      string
		count     int
		keepAlive bool
	}{{"connections kept", min(maxKeepAliveRenewals, 2*rows.size), true}, {"a connection each", min(maxSingleRenewals, rows.size), false}} {
		cost, err := renew(steps, addr, rows.size, mode.count, mode.keepAlive)
		if err != nil {
			return fmt.Errorf("renewals, %s, %s: %w", service, mode.name, err)
		}
		prefix := fmt.Sprintf("renewals, %s, %s: ", service, mode.name)
		rows.time(prefix+"processor time of one", cost)
		perSecond := float64(rows.size) * renewalsPerLeaseDuration / plannedLeaseSeconds
		rows.time(prefix+"processor time of a second of the plan's", time.Duration(perSecond*float64(cost)))
	}
	return nil
}

// renew renews random leases and returns the CPU time that the service spends on each renewal. That is the
// CPU time of the process without that of the client threads.
func renew(steps *listSteps, addr string, leases, count int, keepAlive bool) (perRenewal time.Duration, err error) {
	to, err := socketAddress(addr)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var clientTime time.Duration
	var errs []error
	var wg sync.WaitGroup
	before, err := cpuTime(syscall.RUSAGE_SELF)
	if err != nil {
		return 0, err
	}
	sent := 0
	for i := range renewClients {
		renewals := count/renewClients + boolToInt(i < count%renewClients)
		sent += renewals
		wg.Go(func() {
			c := renewClient{to: *to, leases: leases, keepAlive: keepAlive, rng: rand.New(rand.NewPCG(steps.env.Seed, uint64(i)))}
			used, err := c.run(steps.ctx, renewals)
			mu.Lock()
			defer mu.Unlock()
			clientTime += used
			errs = append(errs, err)
		})
	}
	wg.Wait()
	if err := errors.Join(errs...); err != nil {
		return 0, err
	}
	after, err := cpuTime(syscall.RUSAGE_SELF)
	if err != nil {
		return 0, err
	}
	return max(after-before-clientTime, 0) / time.Duration(max(sent, 1)), nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// cpuTime returns the CPU time used so far by this process or by the calling thread. who is RUSAGE_SELF or
// rusageThread.
func cpuTime(who int) (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(who, &u); err != nil {
		return 0, fmt.Errorf("reading the CPU time: %w", err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}

func socketAddress(addr string) (*syscall.SockaddrInet4, error) {
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	return &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}, nil
}

// renewClient renews leases one after another. It runs on its own thread and uses blocking sockets, so that
// its CPU time can be measured separately from that of the service.
type renewClient struct {
	to        syscall.SockaddrInet4 // a copy for each client, because Connect writes into it
	leases    int
	keepAlive bool // keep the connection open between renewals
	rng       *rand.Rand
	fd        int // socket; -1: none
}

// run sends a number of renewals and returns the CPU time of its own thread.
func (c *renewClient) run(ctx context.Context, count int) (used time.Duration, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before, err := cpuTime(rusageThread)
	if err != nil {
		return 0, err
	}
	c.fd = -1
	for range count {
		if err := errors.Join(ctx.Err(), c.renewOne()); err != nil {
			c.closeSocket()
			return 0, err
		}
	}
	c.closeSocket()
	after, err := cpuTime(rusageThread)
	return after - before, err
}

// renewOne renews a random lease.
func (c *renewClient) renewOne() error {
	if c.fd < 0 {
		if err := c.dial(); err != nil {
			return err
		}
	}
	closing := ""
	if !c.keepAlive {
		closing = "Connection: close\r\n"
	}
	id := listEntry(c.rng.IntN(c.leases)).ID
	request := fmt.Appendf(nil, "POST /registry/instances/%s/renew?incarnation=%d HTTP/1.1\r\nHost: list\r\nContent-Length: 0\r\n%s\r\n", id, firstIncarnation, closing)
	for len(request) > 0 {
		n, err := uninterrupted(syscall.Write, c.fd, request)
		if err != nil {
			return fmt.Errorf("writing the request: %w", err)
		}
		request = request[n:]
	}
	response, err := c.readResponse()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(response), "HTTP/1.1 200 ") {
		return fmt.Errorf("renewing %s: got response %.300q, want status 200", id, response)
	}
	if !c.keepAlive {
		c.closeSocket()
	}
	return nil
}

// responseEnd is the end of a response body, which is a JSON object on a line of its own.
var responseEnd = []byte("}\n")

// readResponse reads one response, with head and body.
func (c *renewClient) readResponse() ([]byte, error) {
	response := make([]byte, 0, 1024)
	for !bytes.HasSuffix(response, responseEnd) {
		if len(response) == cap(response) {
			return nil, fmt.Errorf("response has more than %d bytes: %.300q", cap(response), response)
		}
		n, err := uninterrupted(syscall.Read, c.fd, response[len(response):cap(response)])
		if err == nil && n == 0 {
			err = errors.New("connection closed by the service")
		}
		if err != nil {
			return nil, fmt.Errorf("reading the response after %.300q: %w", response, err)
		}
		response = response[:len(response)+n]
	}
	return response, nil
}

// uninterrupted repeats a system call as long as a signal, such as those of the Go runtime, interrupts it.
func uninterrupted(call func(int, []byte) (int, error), fd int, b []byte) (n int, err error) {
	for {
		if n, err = call(fd, b); !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

func (c *renewClient) dial() (err error) {
	if c.fd, err = syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0); err != nil {
		c.fd = -1
		return fmt.Errorf("creating a socket: %w", err)
	}
	wait := syscall.NsecToTimeval(serviceTimeout.Nanoseconds())
	if err := syscall.SetsockoptTimeval(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &wait); err != nil {
		return fmt.Errorf("setting the receive timeout: %w", err)
	}
	if err := syscall.Connect(c.fd, &c.to); err != nil {
		return fmt.Errorf("connecting to %v:%d: %w", netip.AddrFrom4(c.to.Addr), c.to.Port, err)
	}
	return nil
}

func (c *renewClient) closeSocket() {
	if c.fd >= 0 {
		_ = syscall.Close(c.fd)
		c.fd = -1
	}
}
