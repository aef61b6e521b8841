package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"opalhook/internal/testnet"
)

// TestMain runs the tests. If OPALHOOK_TEST_PROGRAM is set, the test binary runs as the program instead.
func TestMain(m *testing.M) {
	if os.Getenv("OPALHOOK_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program with a configuration, and a function that returns its log
// so far. The process is killed when the test ends.
func program(t *testing.T, config string) (*exec.Cmd, func() string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.CommandContext(t.Context(), os.Args[0])
	cmd.Env = append(os.Environ(), "OPALHOOK_TEST_PROGRAM=1", "PROXY_CONFIG="+path)
	logs, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = logs.Close() })
	cmd.Stderr = logs
	return cmd, func() string {
		text, err := os.ReadFile(logs.Name())
		if err != nil {
			t.Error(err)
		}
		return string(text)
	}
}

// With an invalid configuration the program exits with status 1 and logs the name of the field.
func TestBadConfigExits(t *testing.T) {
	cmd, logs := program(t, `{"name":"n0","listen":"nowhere"}`)
	if err := cmd.Run(); cmd.ProcessState.ExitCode() != 1 || !strings.Contains(logs(), "listen") {
		t.Errorf("run: %v, logged %q; want exit status 1 and a log that names listen", err, logs())
	}
}

// deployedCommand returns the command that starts an edge node according to the deploy file, and a directory
// in which that command starts the test binary instead.
func deployedCommand(t *testing.T) (command, dir string) {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		t.Fatal("deploy/balancer.toml has no run command")
	}
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if err := os.Mkdir(filepath.Join(dir, "bin"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.Symlink(self, filepath.Join(dir, "bin", "edge-node")); err != nil {
		t.Fatal(err)
	}
	return string(match[1]), dir
}

// awaitExec waits until the shell in the process has executed the program. It polls without pauses, so that a
// test can send a signal as early as possible.
func awaitExec(t *testing.T, pid int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", pid))
		if err != nil || time.Now().After(end) {
			t.Fatalf("the program did not start: %v", err)
		}
		if strings.TrimSpace(string(name)) == "edge-node" {
			return
		}
	}
}

// acceptOnce listens on a port until the test ends and accepts one connection. The channel is closed after
// that.
func acceptOnce(t *testing.T) (addr string, called <-chan struct{}) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	accepted := make(chan struct{})
	go func() {
		if c, err := ln.Accept(); err == nil {
			close(accepted)
			_ = c.Close()
		}
	}()
	return ln.Addr().String(), accepted
}

// Guards against a SIGHUP that ends the process, or has no effect, because it arrives before the program
// handles the signal. The deploy file's command starts the program, and the test sends the signal as soon as
// the program is executed. The program must then use the new configuration file, which has replaced the old
// one before the signal.
func TestHangupDuringStart(t *testing.T) {
	command, dir := deployedCommand(t)
	config := func(discovery string) string {
		return fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"1",
			"settings":{"instances":1,"lanes":[{"name":"c","idempotency":"retryable","onTime":0.4,"deadline":2}]}}`, discovery)
	}
	for range 5 {
		next, called := acceptOnce(t)
		cmd, logs := program(t, config("127.0.0.1:1"))
		path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "PROXY_CONFIG=")
		cmd.Path, cmd.Args, cmd.Dir = "/bin/sh", []string{"sh", "-c", command}, dir
		if err := os.WriteFile(path+".new", []byte(config(next)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		awaitExec(t, cmd.Process.Pid)
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-called:
		case <-time.After(30 * time.Second):
			t.Fatalf("the new discovery address was not called, logged %q", logs())
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("exit: %v, logged %q", err, logs())
		}
	}
}

// On SIGHUP the program reads its configuration again and keeps running. On SIGTERM it exits with status 0.
func TestSignals(t *testing.T) {
	addr := testnet.FreeAddr(t)
	cmd, logs := program(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:1","seed":"1",
		"limits":{"memory_mb":192,"sockets":1024},
		"settings":{"instances":1,"lanes":[{"name":"c","idempotency":"retryable","onTime":0.4,"deadline":2}]}}`, addr))
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ready := false
	for end := time.Now().Add(30 * time.Second); !ready && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		resp, err := http.Get("http://" + addr + "/health/ready")
		if err == nil {
			ready = resp.StatusCode == http.StatusOK
			_ = resp.Body.Close()
		}
	}
	if !ready {
		t.Error("the node did not become ready in time")
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(30 * time.Second); !strings.Contains(logs(), "msg=reloaded"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("SIGHUP had no effect, logged %q", logs())
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("exit: %v, logged %q", err, logs())
	}
}
