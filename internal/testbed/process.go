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

// starter starts processes from one thread that lives as long as the run: the kernel ends
// a child whose parent's thread ends, so that none outlives the testbed, however that ends.
type starter struct {
	jobs chan func()
	done chan struct{}
}

func newStarter() *starter {
	s := &starter{jobs: make(chan func()), done: make(chan struct{})}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the goroutine
		defer close(s.done)
		for f := range s.jobs {
			f()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) error {
	err := make(chan error)
	s.jobs <- func() { err <- cmd.Start() }
	return <-err
}

func (s *starter) stop() {
	close(s.jobs)
	<-s.done
}

// process is one run of a program.
type process struct {
	name  string
	cmd   *exec.Cmd
	log   *os.File
	ended chan struct{}
	err   error // how it ended, once ended is closed

	mu            sync.Mutex
	stopRequested bool // to end: its end is no crash
	killed        bool
}

// nodeNiceness is the niceness of the nodes: they give way to what plays the environment around them, as they would on machines of
// their own.
const nodeNiceness = 5

// startProcess starts a program with its output in a file; the log of an earlier process of
// the name is kept and added to.
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
		_ = cmd.Process.Kill() // one that has ended already needs none
		return nil, fmt.Errorf("priority of %s: %w", name, err)
	}
	go func() {
		p.err = cmd.Wait()
		_ = log.Close()
		close(p.ended)
	}()
	return p, nil
}

// signal sends a signal by the process's id; one that has ended gets none.
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

// crashed tells whether the process ended and nobody told it to.
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

// wasKilled tells whether the process died or was killed with no chance to finish.
func (p *process) wasKilled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed
}

// stop ends the process: SIGCONT and SIGTERM, and SIGKILL if it has not ended within grace.
func (p *process) stop(grace time.Duration) {
	// A signal fails where the process has ended, which is what is wanted.
	_ = p.signal(syscall.SIGCONT)
	_ = p.signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(grace):
		_ = p.signal(syscall.SIGKILL)
		<-p.ended
	}
}

// errExitedWithoutError is how a process ended that exits with code 0 although nobody ended it.
var errExitedWithoutError = errors.New("exit code 0")

// usage is what a process has used.
type usage struct {
	cpu     time.Duration
	memory  int64         // resident bytes
	starved time.Duration // that its threads were ready to run and had no core
}

// usage reads /proc. It is zero once the process has ended.
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
			u.starved += time.Duration(ns)
		}
	}
	return u
}

// tail is the end of a process's log, for an error message.
func tail(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = f.Close() }()
	if st, err := f.Stat(); err == nil && st.Size() > 2000 {
		_, _ = f.Seek(-2000, io.SeekEnd) // else the whole log is shown
	}
	text, err := io.ReadAll(f)
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(string(text))
}
