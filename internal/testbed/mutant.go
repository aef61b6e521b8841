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

// mutant is a fault put into the edge node's source on purpose, to see that a sweep finds it.
type mutant struct {
	about   string
	file    string // under the module's root
	changes [][2]string
}

// mutants by name.
var mutants = map[string]mutant{
	"drain-after-reset": {"drains are ignored once a call of discovery has ended by itself", "internal/edgenode/follower/client.go", [][2]string{
		{"	apply    func(endpointlist.List)\n", "	apply    func(endpointlist.List)\n	broke    bool\n"},
		{"	case eventEnd:\n		f.Ended(", "	case eventEnd:\n		d.broke = d.broke || e.id == f.watch.id\n		f.Ended("},
		{"	case eventRejected:\n		f.Rejected(", "	case eventRejected:\n		d.broke = d.broke || e.id == f.watch.id\n		f.Rejected("},
		{"	if malformed { // one line", "	for i := range e.list.Endpoints {\n		if d.broke && e.list.Endpoints[i].State == 1 {\n" +
			"			e.list.Endpoints[i].State = 0\n		}\n	}\n	if malformed { // one line"},
	}},
	"late-watch": {"a watch that broke is opened anew a minute later, and nothing else is asked", "internal/edgenode/follower/schedule.go", [][2]string{
		{"	f.markUnreachable()\n	f.suspect(listSuspect)\n	if !f.rateLimited() {\n", "	f.markUnreachable()\n	f.watchAt = now + time.Minute\n	return\n	if !f.rateLimited() {\n"},
		{"	f.suspect(listSuspect)\n	f.watchAt = now + max(", "	f.watchAt = now + time.Minute\n	return\n	f.watchAt = now + max("},
		{"	if f.freshness != listCurrent && f.fetch.id == 0 && ", "	if f.freshness != listCurrent && f.generation == 0 && f.fetch.id == 0 && "},
	}},
	"cap-128": {"no more than 128 entries of a message are read", "internal/discovery/lenient.go", [][2]string{
		{"	for i, text := range raw.Instances {\n", "	for i, text := range raw.Instances {\n		if i >= 128 {\n			break\n		}\n"},
	}},
}

// Mutants lists the nodes that BreakNode can build, with what is wrong with each.
func Mutants() map[string]string {
	all := map[string]string{}
	for name, b := range mutants {
		all[name] = b.about
	}
	return all
}

// BuildMutant builds an edge node that is broken on purpose into dir and returns its path. It
// needs the module that the working folder is in; the sources are left as they are.
func BuildMutant(ctx context.Context, name, dir string) (string, error) {
	b, ok := mutants[name]
	if !ok {
		return "", fmt.Errorf("broken: %q is none of %s", name, names(mutants))
	}
	root, err := moduleRoot(ctx)
	if err != nil {
		return "", err
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return "", fmt.Errorf("folder of the run: %w", err)
	}
	if dir, err = filepath.Abs(dir); err != nil {
		return "", fmt.Errorf("folder of the run: %w", err)
	}
	source := filepath.Join(root, b.file)
	text, err := os.ReadFile(source)
	if err != nil {
		return "", fmt.Errorf("broken node %s: %w", name, err)
	}
	for _, c := range b.changes {
		if bytes.Count(text, []byte(c[0])) != 1 {
			return "", fmt.Errorf("broken node %s: %s has changed: %q does not stand in it once", name, b.file, c[0])
		}
		text = bytes.Replace(text, []byte(c[0]), []byte(c[1]), 1)
	}
	changed := filepath.Join(dir, name+".go")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {source: changed}})
	if err != nil {
		return "", fmt.Errorf("broken node %s: %w", name, err)
	}
	list := filepath.Join(dir, name+".overlay.json")
	if err := errors.Join(os.WriteFile(changed, text, 0o644), os.WriteFile(list, overlay, 0o644)); err != nil {
		return "", fmt.Errorf("broken node %s: %w", name, err)
	}
	return buildNode(ctx, root, filepath.Join(dir, "edge-node-"+name), "-overlay", list)
}

// moduleRoot is the folder of the module that the working folder is in.
func moduleRoot(ctx context.Context) (string, error) {
	out, err := exec.CommandContext(ctx, "go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(out)))
	if err != nil || root == "." {
		return "", errors.New("no edge node to run: name one with --node-binary, or call this inside the repository, where it is built")
	}
	if _, err := os.Stat(filepath.Join(root, nodePackage)); err != nil {
		return "", fmt.Errorf("no edge node to run: %s has no %s; name one with --node-binary", root, nodePackage)
	}
	return root, nil
}

// buildNode builds the edge node to a path.
func buildNode(ctx context.Context, root, path string, flags ...string) (string, error) {
	build := exec.CommandContext(ctx, "go", append(append([]string{"build"}, flags...), "-o", path, nodePackage)...)
	build.Dir = root
	var said bytes.Buffer
	build.Stderr = &said
	if err := build.Run(); err != nil {
		return "", fmt.Errorf("building the edge node: %w\n%s", err, strings.TrimSpace(said.String()))
	}
	return path, nil
}
