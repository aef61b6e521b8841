package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
)

// runCommand runs the command line with arguments. It returns the output to stdout and stderr, and the error.
func runCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	c := root()
	var out bytes.Buffer
	c.SetOut(&out)
	c.SetErr(&out)
	c.SetArgs(args)
	err := c.ExecuteContext(t.Context())
	return out.String(), err
}

// Every command has a short description and an example.
func TestCommandsHaveHelp(t *testing.T) {
	var check func(c *cobra.Command)
	check = func(c *cobra.Command) {
		if c.Short == "" || !strings.Contains(c.Example, "opalhook") {
			t.Errorf("%s: no description or no example", c.CommandPath())
		}
		for _, sub := range c.Commands() {
			check(sub)
		}
	}
	check(root())
}

// An invalid scenario file makes the command fail with an error that names the file, but the JSON output
// still lists all files.
func TestListJSONWithInvalidScenario(t *testing.T) {
	dir := t.TempDir()
	for name, text := range map[string]string{"good.toml": "name = \"good\"\n", "bad.toml": "name = \"bad\"\nnodes = 1\n"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	out, err := runCommand(t, "lab", "list", dir, "-o", "json")
	if err == nil || !strings.Contains(err.Error(), "bad.toml:2: nodes: unknown key") {
		t.Errorf("error %v, want one that names bad.toml", err)
	}
	var rows []struct{ Name, Error string }
	if err := json.Unmarshal([]byte(out), &rows); err != nil || len(rows) != 2 || rows[1].Name != "good" {
		t.Errorf("%q: %v", out, err)
	}
}

// Invalid arguments lead to an error that names the argument and what is accepted.
func TestInvalidArguments(t *testing.T) {
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"lab", "list", "-o", "xml"}, "--output: must be text or json, got \"xml\""},
		{[]string{"lab", "run", "nowhere.toml"}, "nowhere.toml"},
		{[]string{"lab", "run", "../../scenarios/quiet.toml", "--runs", "0"}, "--runs: must be at least 1, got 0"},
		{[]string{"lab", "run", "../../scenarios/quiet.toml", "--node-binary", "main.go", "--dir", t.TempDir()}, "main.go is not an executable file"},
		{[]string{"lab", "report", t.TempDir()}, "does not contain a finished run"},
		{[]string{"lab", "fly"}, "fly"},
		{[]string{"lab", "scale", "--part", "moons"}, "--part: got \"moons\", must be one of node-list"},
		{[]string{"lab", "scale", "--part", "quota", "--sizes", "10,many"}, "--sizes: must be whole numbers separated by commas, got \"many\""},
		{[]string{"lab", "scale", "--part", "quota", "--sizes", "10,0"}, "--sizes: must be at least 1, got 0"},
		{[]string{"lab", "scale", "--sizes", "10"}, "--sizes: requires exactly one part, because each part has its own sizes; got "},
		{[]string{"up", "--for", "10ms"}, "duration"},
	} {
		if _, err := runCommand(t, c.args...); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%v: error %v, want %q", c.args, err, c.want)
		}
	}
}
