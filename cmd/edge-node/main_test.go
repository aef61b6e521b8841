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

// TestMain lets the test binary stand in for the program.
func TestMain(m *testing.M) {
	if os.Getenv("OPALHOOK_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is the program with a configuration, and what it has logged so far; it is
// ended with the test.
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

// An invalid configuration ends the program with a code and the field's name.
func TestBadConfigExits(t *testing.T) {
	cmd, logs := program(t, `{"name":"n0","listen":"nowhere"}`)
	if err := cmd.Run(); cmd.ProcessState.ExitCode() != 1 || !strings.Contains(logs(), "listen") {
		t.Errorf("%v, logged %q", err, logs())
	}
}

// deployedCommand is the command by which the deploy file starts the node, and a folder in which it starts this test
// binary.
func deployedCommand(t *testing.T) (command, dir string) {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	match := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if match == nil {
		t.Fatal("the deploy file has no run command")
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

// awaitExec waits until the shell has become the program, without a pause: a signal is to come early.
func awaitExec(t *testing.T, pid int) {
	t.Helper()
	for end := time.Now().Add(30 * time.Second); ; {
		name, err := os.ReadFile(fmt.Sprintf("/proc/%d/comm", pid))
		if err != nil || time.Now().After(end) {
			t.Fatalf("the program has not begun: %v", err)
		}
		if strings.TrimSpace(string(name)) == "edge-node" {
			return
		}
	}
}

// acceptOnce listens on a port until the test ends. The channel is closed once somebody has connected.
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

// A SIGHUP that comes with the process's first instruction, under the deploy file's command, neither ends it
// nor loses the configuration that it announces.
func TestHangupFromTheFirstInstruction(t *testing.T) {
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
			t.Fatalf("the new discovery is never called, logged %q", logs())
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil {
			t.Errorf("%v, logged %q", err, logs())
		}
	}
}

// SIGHUP reads the configuration again and ends nothing; a planned restart's SIGTERM ends
// the program with 0.
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
		t.Error("never ready")
	}
	if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(30 * time.Second); !strings.Contains(logs(), "msg=reloaded"); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("SIGHUP was not heeded, logged %q", logs())
		}
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v, logged %q", err, logs())
	}
}
