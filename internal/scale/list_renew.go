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

// Figures of the measurement of renewals.
const (
	renewClients    = 32     // threads, each with one connection at a time
	renewalsKept    = 30_000 // over connections that stay open
	renewalsEach    = 6_000  // over a connection for each
	renewalsALease  = 3      // in the plan
	planLeaseTerm   = 10     // seconds, in the plan
	processorThread = 1      // RUSAGE_THREAD of getrusage(2): the calling thread
)

// ListRenewals measures what the renewals of a list's leases cost the service.
func ListRenewals() Part {
	return Part{
		Name: "list-renewals",
		Title: "Renewals of all leases of a list over loopback: processor time of the replicas, without that of the clients, " +
			"and of a second of the plan's renewals, each lease three times in 10 s. With three replicas it is that of all three.",
		Size:    "leases",
		Sizes:   listSizes,
		Small:   []int{100},
		Memory:  func(size int) uint64 { return listMemory(serviceReplicas, size) },
		Measure: inSteps("list-renewals", 4, measureRenewals),
	}
}

func measureRenewals(at *listSteps, rows *rowsOf) (err error) {
	leader, err := at.restore(rows.size, listLease, serviceElection)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, leader.close()) }()
	if err := renewAll(at, rows, leader.Addr(), "one replica"); err != nil {
		return err
	}
	if err := at.next("adding replicas"); err != nil {
		return err
	}
	began := time.Now()
	followers, err := joinReplicas(at.ctx, leader)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, closeReplicas(followers)) }()
	rows.time("two replicas join, until they have the list", time.Since(began))
	if err := awaitReplica(at.ctx, "the first replica to lead", leader.IsLeader); err != nil {
		return err
	}
	return renewAll(at, rows, leader.Addr(), "three replicas")
}

// renewAll measures renewals over connections that stay open, and over one for each.
func renewAll(at *listSteps, rows *rowsOf, addr, service string) error {
	if err := at.next("renewing leases, " + service); err != nil {
		return err
	}
	for _, way := range []struct {
		name  string
		count int
		keep  bool
	}{{"connections kept", min(renewalsKept, 2*rows.size), true}, {"a connection each", min(renewalsEach, rows.size), false}} {
		cost, err := renew(at, addr, rows.size, way.count, way.keep)
		if err != nil {
			return fmt.Errorf("renewals, %s, %s: %w", service, way.name, err)
		}
		prefix := fmt.Sprintf("renewals, %s, %s: ", service, way.name)
		rows.time(prefix+"processor time of one", cost)
		aSecond := float64(rows.size) * renewalsALease / planLeaseTerm
		rows.time(prefix+"processor time of a second of the plan's", time.Duration(aSecond*float64(cost)))
	}
	return nil
}

// renew renews drawn leases and returns the processor time that the service spent on each.
func renew(at *listSteps, addr string, leases, count int, keep bool) (each time.Duration, err error) {
	to, err := socketAddress(addr)
	if err != nil {
		return 0, err
	}
	var mu sync.Mutex
	var clients time.Duration
	var errs []error
	var work sync.WaitGroup
	before, err := processorTime(syscall.RUSAGE_SELF)
	if err != nil {
		return 0, err
	}
	sent := 0
	for i := range renewClients {
		share := count/renewClients + oneIf(i < count%renewClients)
		sent += share
		work.Go(func() {
			c := renewClient{to: *to, leases: leases, keep: keep, rng: rand.New(rand.NewPCG(at.env.Seed, uint64(i)))}
			spent, err := c.run(at.ctx, share)
			mu.Lock()
			defer mu.Unlock()
			clients += spent
			errs = append(errs, err)
		})
	}
	work.Wait()
	if err := errors.Join(errs...); err != nil {
		return 0, err
	}
	after, err := processorTime(syscall.RUSAGE_SELF)
	if err != nil {
		return 0, err
	}
	return max(after-before-clients, 0) / time.Duration(max(sent, 1)), nil
}

func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}

// processorTime is what this process, or this thread, has used of the processors.
func processorTime(who int) (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(who, &u); err != nil {
		return 0, fmt.Errorf("processor time: %w", err)
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

// renewClient renews leases one after another. It has a thread and blocking sockets of its own,
// so that its processor time can be told from the service's.
type renewClient struct {
	to     syscall.SockaddrInet4 // its own: Connect writes into it
	leases int
	keep   bool
	rng    *rand.Rand
	fd     int
}

// run sends renewals and returns the processor time that it took itself.
func (c *renewClient) run(ctx context.Context, count int) (spent time.Duration, err error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	before, err := processorTime(processorThread)
	if err != nil {
		return 0, err
	}
	c.fd = -1
	for range count {
		if err := errors.Join(ctx.Err(), c.one()); err != nil {
			c.hangUp()
			return 0, err
		}
	}
	c.hangUp()
	after, err := processorTime(processorThread)
	return after - before, err
}

// one renews a drawn lease.
func (c *renewClient) one() error {
	if c.fd < 0 {
		if err := c.dial(); err != nil {
			return err
		}
	}
	closing := ""
	if !c.keep {
		closing = "Connection: close\r\n"
	}
	id := listEntry(c.rng.IntN(c.leases)).InstanceID
	request := fmt.Appendf(nil, "POST /registry/instances/%s/renew?incarnation=%d HTTP/1.1\r\nHost: list\r\nContent-Length: 0\r\n%s\r\n", id, firstIncarnation, closing)
	for len(request) > 0 {
		n, err := uninterrupted(syscall.Write, c.fd, request)
		if err != nil {
			return fmt.Errorf("write: %w", err)
		}
		request = request[n:]
	}
	answer, err := c.answer()
	if err != nil {
		return err
	}
	if !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
		return fmt.Errorf("%s: answered %.300s", id, answer)
	}
	if !c.keep {
		c.hangUp()
	}
	return nil
}

// answerEnd ends the body of an answer, a JSON object on a line.
var answerEnd = []byte("}\n")

func (c *renewClient) answer() ([]byte, error) {
	answer := make([]byte, 0, 1024)
	for !bytes.HasSuffix(answer, answerEnd) {
		if len(answer) == cap(answer) {
			return nil, fmt.Errorf("an answer of over %d bytes: %.300s", cap(answer), answer)
		}
		n, err := uninterrupted(syscall.Read, c.fd, answer[len(answer):cap(answer)])
		if err == nil && n == 0 {
			err = errors.New("closed")
		}
		if err != nil {
			return nil, fmt.Errorf("read after %.300q: %w", answer, err)
		}
		answer = answer[:len(answer)+n]
	}
	return answer, nil
}

// uninterrupted calls again when a signal of the runtime came in between.
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
		return fmt.Errorf("socket: %w", err)
	}
	wait := syscall.NsecToTimeval(serviceWithin.Nanoseconds())
	if err := syscall.SetsockoptTimeval(c.fd, syscall.SOL_SOCKET, syscall.SO_RCVTIMEO, &wait); err != nil {
		return fmt.Errorf("time-out: %w", err)
	}
	if err := syscall.Connect(c.fd, &c.to); err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	return nil
}

func (c *renewClient) hangUp() {
	if c.fd >= 0 {
		_ = syscall.Close(c.fd)
		c.fd = -1
	}
}
