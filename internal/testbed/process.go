package testbed

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// starter starts processes from a single thread that lives as long as the run. The kernel kills a child
// process with Pdeathsig when the thread that started it ends. No process therefore outlives the testbed,
// even if the testbed is killed.
type starter struct {
	startCalls chan func()
	done       chan struct{}
}

// newStarter returns a starter and starts its thread.
func newStarter() *starter {
	s := &starter{startCalls: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked, so that the thread ends with the goroutine
		defer close(s.done)
		for f := range s.startCalls {
			f()
		}
	}()
	return s
}

// start starts a command on the starter's thread.
func (s *starter) start(cmd *exec.Cmd) error {
	err := make(chan error)
	s.startCalls <- func() { err <- cmd.Start() }
	return <-err
}

// stop ends the thread. The kernel kills the processes that are still running.
func (s *starter) stop() {
	close(s.startCalls)
	<-s.done
}

// process is a running or ended process.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   *os.File      // standard output and standard error
	ended chan struct{} // closed when the process has ended
	err   error         // result of cmd.Wait; valid once ended is closed

	mu            sync.Mutex
	stopRequested bool // SIGTERM or SIGKILL was sent, so that the end of the process is not a crash
	killed        bool // SIGKILL was sent
}

// nodeNiceness is the niceness of the nodes' processes. They have a lower priority than the emulated
// environment, which would not compete with them for CPU if it ran on other machines.
const nodeNiceness = 5

// startProcess starts a program. It appends the output to the file NAME.log in dir, which may contain the
// output of earlier processes with the same name. env is added to the testbed's own environment.
func startProcess(st *starter, dir, name, binary string, nice int, env []string, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("log of %s: %w", name, err)
	}
	cmd := exec.Command(binary, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	p := &process{name: name, cmd: cmd, log: log, ended: make(chan struct{})}
	if err := st.start(cmd); err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	if err := syscall.Setpriority(syscall.PRIO_PROCESS, cmd.Process.Pid, nice); err != nil && !errors.Is(err, syscall.ESRCH) {
		_ = cmd.Process.Kill() // fails if the process has already ended
		return nil, fmt.Errorf("priority of %s: %w", name, err)
	}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal to the process. It returns nil if the process has already ended.
func (p *process) signal(sig syscall.Signal) error {
	p.mu.Lock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.stopRequested = true
	}
	if sig == syscall.SIGKILL {
		p.killed = true
	}
	p.mu.Unlock()
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%s: %v: %w", p.name, sig, err)
	}
	return nil
}

// crashed reports whether the process has ended without a request to stop.
func (p *process) crashed() bool {
	select {
	case <-p.ended:
	default:
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopRequested
}

// wasKilled reports whether SIGKILL was sent to the process.
func (p *process) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// stop ends the process and waits for its end. It sends SIGCONT and SIGTERM, and SIGKILL if the process has
// not ended within the grace period.
func (p *process) stop(grace time.Duration) {
	// Sending a signal fails only if the process has ended, which is the goal.
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		_ = p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// errExitedWithoutError describes the end of a process that exits with code 0 without a request to stop.
var errExitedWithoutError = errors.New("exit code 0")

// usage is the resource usage of a process.
type usage struct {
	cpu     time.Duration // total CPU time
	memory  int64         // resident memory, in bytes
	cpuWait time.Duration // total time in which its threads were ready to run but had no core
}

// usage reads the process's usage from /proc. It returns zero values once the process has ended.
func (p *process) usage() (u usage) {
	root := "/proc/" + strconv.Itoa(p.cmd.Process.Pid)
	stat, err := os.ReadFile(root + "/stat")
	if err != nil {
		return u
	}
	if i := bytes.LastIndexByte(stat, ')'); i > 0 {
		f := strings.Fields(string(stat[i+1:]))
		if len(f) > 21 {
			user, _ := strconv.ParseInt(f[11], 10, 64)
			sys, _ := strconv.ParseInt(f[12], 10, 64)
			pages, _ := strconv.ParseInt(f[21], 10, 64)
			u.cpu = time.Duration(user+sys) * time.Second / 100 // USER_HZ is 100 on Linux
			u.memory = pages * int64(os.Getpagesize())
		}
	}
	threads, _ := os.ReadDir(root + "/task")
	for _, t := range threads {
		text, err := os.ReadFile(root + "/task/" + t.Name() + "/schedstat")
		if f := strings.Fields(string(text)); err == nil && len(f) > 1 {
			ns, _ := strconv.ParseInt(f[1], 10, 64)
			u.cpuWait += time.Duration(ns)
		}
	}
	return u
}

// tail returns the last 2000 bytes of a log file for use in an error message, or the error of reading it.
func tail(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	if st, err := f.Stat(); err == nil && st.Size() > 2000 {
		_, _ = f.Seek(-2000, io.SeekEnd) // on an error, the message contains the whole log
	}
	text, err := io.ReadAll(f)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text))
}
