package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// mutant is a deliberate bug in the edge node's source. Sweeps run with mutants to verify that they detect
// such bugs.
type mutant struct {
	about string // description of the bug
	file  string // path relative to the module's root
	// Source texts to replace, with their replacements. Each text must occur exactly once in the file.
	changes [][2]string
}

// mutants contains the mutants by name.
var mutants = map[string]mutant{
	"drain-after-reset": {"after discovery has ended or rejected a watch, the draining state of endpoints is ignored", "internal/edgenode/follower/client.go", [][2]string{
		{"	apply    func(endpointlist.List)\n", "	apply    func(endpointlist.List)\n	broke    bool\n"},
		{"	case eventEnd:\n		f.Ended(", "	case eventEnd:\n		d.broke = d.broke || e.id == f.watch.id\n		f.Ended("},
		{"	case eventRejected:\n		f.Rejected(", "	case eventRejected:\n		d.broke = d.broke || e.id == f.watch.id\n		f.Rejected("},
		{"	if malformed { // one line", "	for i := range e.list.Endpoints {\n		if d.broke && e.list.Endpoints[i].State == 1 {\n" +
			"			e.list.Endpoints[i].State = 0\n		}\n	}\n	if malformed { // one line"},
	}},
	"late-watch": {"a lost watch is reopened only after a minute, and the list is not fetched in the meantime", "internal/edgenode/follower/schedule.go", [][2]string{
		{"	f.markUnreachable()\n	f.suspect(listSuspect)\n	if !f.rateLimited() {\n", "	f.markUnreachable()\n	f.watchAt = now + time.Minute\n	return\n	if !f.rateLimited() {\n"},
		{"	f.suspect(listSuspect)\n	f.watchAt = now + max(", "	f.watchAt = now + time.Minute\n	return\n	f.watchAt = now + max("},
		{"	if f.freshness != listCurrent && f.fetch.id == 0 && ", "	if f.freshness != listCurrent && f.generation == 0 && f.fetch.id == 0 && "},
	}},
	"cap-128": {"only the first 128 entries of a discovery message are read", "internal/discovery/lenient.go", [][2]string{
		{"	for text := range elements(instances) {\n", "	for text := range elements(instances) {\n		if fields.entryIndex >= 127 {\n			break\n		}\n"},
	}},
}

// Mutants returns the mutants that BuildMutant can build: a description of the bug by name.
func Mutants() map[string]string {
	descriptions := map[string]string{}
	for name, m := range mutants {
		descriptions[name] = m.about
	}
	return descriptions
}

// BuildMutant builds a mutant of the edge node in dir and returns the path of the binary. The working
// directory must be inside this module. The module's sources are not modified: the build uses an overlay.
func BuildMutant(ctx context.Context, name, dir string) (string, error) {
	m, ok := mutants[name]
	if !ok {
		return "", fmt.Errorf("unknown mutant %q, must be one of %s", name, names(mutants))
	}
	root, err := moduleRoot(ctx)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("directory of the run: %w", err)
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return "", fmt.Errorf("directory of the run: %w", err)
	}
	source := filepath.Join(root, m.file)
	text, err := os.ReadFile(source)
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", name, err)
	}
	for _, c := range m.changes {
		if bytes.Count(text, []byte(c[0])) != 1 {
			return "", fmt.Errorf("mutant %s: %s must contain %q exactly once, found %d times", name, m.file, c[0], bytes.Count(text, []byte(c[0])))
		}
		text = bytes.Replace(text, []byte(c[0]), []byte(c[1]), 1)
	}
	changed := filepath.Join(dir, name+".go")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: changed}})
	if err != nil {
		return "", fmt.Errorf("mutant %s: %w", name, err)
	}
	overlayFile := filepath.Join(dir, name+".overlay.json")
	if err := errors.Join(os.WriteFile(changed, text, 0o644), os.WriteFile(overlayFile, overlay, 0o644)); err != nil {
		return "", fmt.Errorf("mutant %s: %w", name, err)
	}
	return buildNode(ctx, root, filepath.Join(dir, "edge-node-"+name), "-overlay", overlayFile)
}

// moduleRoot returns the root directory of the module that contains the working directory.
func moduleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(out)))
	if err != nil || root == "." {
		return "", errors.New("no edge node to run: set --node-binary, or run inside the repository to have it built")
	}
	if _, err := os.Stat(filepath.Join(root, nodePackage)); err != nil {
		return "", fmt.Errorf("no edge node to run: module %s does not contain %s; set --node-binary", root, nodePackage)
	}
	return root, nil
}

// buildNode builds the edge node with the given flags of go build and returns the path of the binary. The
// error contains the compiler's output.
func buildNode(ctx context.Context, root, path string, flags ...string) (string, error) {
	build := exec.CommandContext(ctx, "go", append(append([]string{"build"}, flags...), "-o", path, nodePackage)...)
	build.Dir = root
	var stderr bytes.Buffer
	build.Stderr = &stderr
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building the edge node: %w\n%s", err, strings.TrimSpace(stderr.String()))
	}
	return path, nil
}
